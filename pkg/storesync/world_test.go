package storesync

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// simulation is a fleet of hosts with a store and a network, in virtual time.
type simulation struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    int

	revision        uint64
	changed         map[uint64]time.Time // when each revision was created
	oldest          uint64               // watches from earlier revisions fail with ErrHistoryLost
	down            path                 // state of the store for all hosts
	watchStalled    bool                 // watches return no changes
	blockAllWatches bool                 // stalled watches include those that should return at once
	calls           int
	hosts           []*host
	byAddress       map[netip.AddrPort]*host
	loss            float64 // datagram loss rate
	inline          float64 // share of messages that carry their changes
	viewLag         time.Duration
	clocksStop      bool          // clocks of suspended hosts stop
	fetchCost       time.Duration // time in which a host answers one fetch; fetches are answered one by one
	sendCost        time.Duration // time in which a host sends one message
	sent            int           // number of messages sent
	// largeRead makes a full read take many calls, and a transfer of the state to a peer slow.
	largeRead bool
}

// path is the state of a network path.
type path int

const (
	open path = iota
	silent
	refused
)

// host is one Core with its simulated process.
type host struct {
	*Core
	sim         *simulation
	self        Host
	incarnation int // number of starts; callbacks of an earlier incarnation are dropped
	alive       bool
	paused      bool
	deferred    []func()      // inputs that wait for the end of a pause
	suspended   bool          // the machine is suspended: its timers stop too
	clockLag    time.Duration // how far the clock is behind, if it does not count suspensions
	store       path
	peers       path
	lastFaultAt time.Time // when a fault of this host last began or ended
	tick        time.Time // when Tick is scheduled
	watch       *openWatch
	delays      DelayEstimator
	callCount   int
	busy        time.Time // end of the fetches being answered
	serving     int       // state transfers in progress
	sending     time.Time // end of the messages being sent
	sent        int       // number of messages sent
	recoveries  int
	events      map[event.Code]int
}

type openWatch struct {
	after   uint64
	stalled bool
	done    func(revision uint64, changed bool, err error)
}

type queuedEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []queuedEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(queuedEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const (
	storeLatency   = 2 * time.Millisecond
	peerLatency    = 1500 * time.Microsecond
	callTimeout    = 700 * time.Millisecond
	fetchTimeout   = 200 * time.Millisecond
	maxChangeDelay = 2 * time.Second
	seeds          = 3 // number of hosts whose addresses are known at the start
)

// epoch is the start time of each simulation.
var epoch = time.Unix(1000, 0)

var errCall = errors.New("no answer")

func newSimulation(seed uint64, hosts, domains int) *simulation {
	w := &simulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       epoch,
		changed:   make(map[uint64]time.Time),
		byAddress: make(map[netip.AddrPort]*host),
		inline:    0.7,
		viewLag:   time.Second,
	}
	for i := range hosts {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i % domains), byte(i + 1)}), 7200)
		h := &host{sim: w, self: Host{Address: a, FailureDomain: "d" + strconv.Itoa(i%domains)}, events: make(map[event.Code]int)}
		w.hosts = append(w.hosts, h)
		w.byAddress[a] = h
		h.start(i >= seeds)
	}
	w.publishView()
	w.viewLag = 4 * time.Second
	return w
}

func (w *simulation) config(first bool) Config {
	readAfter, askAfter := time.Duration(0), 300*time.Millisecond
	if first {
		readAfter, askAfter = 1500*time.Millisecond, 0
	}

	return Config{
		MaxChangeDelay:         maxChangeDelay,
		SoloCheckInterval:      1500 * time.Millisecond,
		MaxWatchDelay:          150 * time.Millisecond,
		DebounceMin:            150 * time.Millisecond,
		DebounceMax:            1300 * time.Millisecond,
		MinOutage:              500 * time.Millisecond,
		RecoveryAnnouncePeriod: 3 * time.Second,
		RetryMin:               150 * time.Millisecond,
		RetryMax:               400 * time.Millisecond,
		StartReadDelay:         readAfter,
		StartFetchDelay:        askAfter,
		Jitter:                 w.random.Float64,
	}
}

// allKnow reports whether every host knows a revision.
func (w *simulation) allKnow(revision uint64) bool {
	for _, h := range w.hosts {
		if h.Revision() < revision {
			return false
		}
	}
	return true
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, queuedEvent{w.now.Add(d), w.seq, run})
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(queuedEvent)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// change makes a change in the store.
func (w *simulation) change() uint64 {
	w.revision++
	w.changed[w.revision] = w.now
	for _, h := range w.hosts {
		h.notifyWatch()
	}
	return w.revision
}

// publishView tells each host, after a delay, which hosts are alive now.
func (w *simulation) publishView() {
	var alive []Host
	for _, h := range w.hosts {
		if h.alive {
			alive = append(alive, h.self)
		}
	}
	w.after(w.viewLag/2+time.Duration(w.random.Float64()*float64(w.viewLag)/2), func() {
		for _, h := range w.hosts {
			h.input(h.incarnation, func() { h.do(h.SetHosts(h.clock(), h.self, alive, true)) })
		}
	})
}

// start starts a process. The argument first is true for a host of a new fleet that asks its peers
// at once and leaves reading the store to the first hosts of the fleet.
func (h *host) start(first bool) {
	h.incarnation++
	h.alive, h.paused, h.deferred, h.watch = true, false, nil, nil
	h.delays = DelayEstimator{}
	h.lastFaultAt = h.sim.now
	h.tick = time.Time{}
	h.suspended, h.clockLag = false, 0
	h.Core = New(h.sim.now, h.sim.config(first))
	var known []Host
	for _, s := range h.sim.hosts[:min(seeds, len(h.sim.hosts))] {
		known = append(known, Host{Address: s.self.Address})
	}
	h.input(h.incarnation, func() { h.do(h.SetHosts(h.clock(), h.self, known, false)) })
}

func (h *host) kill() {
	h.alive = false
	h.incarnation++
	h.lastFaultAt = h.sim.now
	h.watch = nil
}

// pause stops the process; its inputs are deferred.
func (h *host) pause() { h.paused, h.lastFaultAt = true, h.sim.now }

func (h *host) wake() {
	h.lastFaultAt = h.sim.now
	h.paused = false
	held := h.deferred
	h.deferred = nil
	for _, f := range held {
		f()
	}
}

func (h *host) clock() time.Time { return h.sim.now.Add(-h.clockLag) }

// resumeDetectDelay is the longest time until a host detects that it was suspended.
const resumeDetectDelay = 500 * time.Millisecond

// suspend stops the process, its timers and possibly its clock for a while.
func (h *host) suspend(length time.Duration) {
	w, incarnation := h.sim, h.incarnation
	h.pause()
	h.suspended = true
	w.after(length, func() {
		if h.incarnation != incarnation {
			return
		}
		h.suspended = false
		h.tick = time.Time{}
		if w.clocksStop {
			h.clockLag += length
			h.wake()
			h.schedule()
			return
		}
		h.wake()
		w.after(time.Duration(w.random.Float64()*float64(resumeDetectDelay)), func() {
			h.input(incarnation, func() { h.do(h.Tick(h.clock())) })
		})
	})
}

// input passes an input to the core, unless it belongs to another incarnation.
func (h *host) input(incarnation int, f func()) {
	switch {
	case incarnation != h.incarnation || !h.alive:
	case h.paused:
		h.deferred = append(h.deferred, f)
	default:
		f()
	}
}

// do performs effects, and schedules the next tick.
func (h *host) do(e Effects) {
	for _, ev := range e.Events {
		h.events[ev.Code]++
	}
	if !e.RecoveredAt.IsZero() {
		h.recoveries++
	}
	switch {
	case e.Read && h.sim.largeRead:
		h.readLarge()
	case e.Read:
		h.call(func(rev uint64, err error) Effects { return h.ReadDone(h.clock(), rev, err) })
	}
	if e.Check {
		h.call(func(rev uint64, err error) Effects { return h.CheckDone(h.clock(), rev, err) })
	}
	if e.Ping {
		h.call(func(_ uint64, err error) Effects { return h.PingDone(h.clock(), err) })
	}
	if e.Watch != nil {
		h.beginWatch(*e.Watch)
	}
	if e.StopWatch && h.watch != nil {
		h.endWatch(0, false, errCall)
	}
	if e.Fetch != nil {
		h.sendFetch(*e.Fetch)
	}
	for _, route := range e.SendUpdate {
		if n, ok := h.Update(h.clock()); ok {
			n.Tree = route.Tree
			h.sendUpdate(route.To, n, true)
		}
	}
	for _, route := range e.SendOutageUpdate {
		if n, ok := h.OutageUpdate(h.clock()); ok {
			n.Tree = route.Tree
			h.sendUpdate(route.To, n, false)
		}
	}
	h.schedule()
}

func (h *host) schedule() {
	due, ok := h.NextTick()
	if !ok || due.Equal(h.tick) {
		return
	}
	h.tick = due
	incarnation := h.incarnation
	h.sim.after(max(0, due.Sub(h.clock())), func() {
		if h.suspended {
			return // rescheduled when the machine resumes
		}
		h.input(incarnation, func() {
			if h.tick.Equal(due) {
				h.tick = time.Time{}
				h.do(h.Tick(h.clock()))
			}
		})
	})
}

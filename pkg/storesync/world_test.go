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

// world is a fleet of cores, a store and the network between them, in virtual
// time.
type world struct {
	random *rand.Rand
	now    time.Time
	queue  agenda
	seq    int

	revision  uint64
	changed   map[uint64]time.Time // when each revision was made
	oldest    uint64               // watches from before have lost their history
	down      path                 // of the store, for everyone
	deaf      bool                 // watches hear nothing
	keeps     bool                 // watches that should not wait do, too
	calls     int
	hosts     []*host
	byAddress map[netip.AddrPort]*host
	loss      float64 // of datagrams
	inline    float64 // share of messages that carry their changes
	viewLag   time.Duration
	naive     bool          // clocks of hosts stand still while they are suspended
	askCost   time.Duration // of a host, to answer one question; it answers one by one
	sendCost  time.Duration // of a host, to send one message
	sent      int           // messages
	// long states that what is published takes many calls, and everything long to hand over.
	long bool
}

// path is what happens to calls on a way.
type path int

const (
	open path = iota
	silent
	refused
)

// host is one core and what stands around it.
type host struct {
	*Core
	world    *world
	self     Host
	life     int // counts starts; what was begun in another life is lost
	alive    bool
	paused   bool
	held     []func()      // inputs that wait for the end of a pause
	frozen   bool          // suspended: its timers stand still too
	stood    time.Duration // how far its clock is behind, if that does not count suspensions
	store    path
	peers    path
	harmed   time.Time // when a fault of this host last began or ended
	tick     time.Time // when Tick is scheduled
	watch    *openWatch
	delays   DelayEstimator
	ncalls   int
	busy     time.Time // until when it answers questions
	serving  int       // peers that it hands everything to
	sending  time.Time // until when it sends messages
	sent     int       // messages
	returned int
	events   map[event.Code]int
}

type openWatch struct {
	after uint64
	deaf  bool
	done  func(revision uint64, changed bool, err error)
}

type entry struct {
	at  time.Time
	seq int
	run func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const (
	storeWay     = 2 * time.Millisecond
	peerWay      = 1500 * time.Microsecond
	callTimeout  = 700 * time.Millisecond
	askTimeout   = 200 * time.Millisecond
	changeWithin = 2 * time.Second
	seeds        = 3 // hosts whose addresses are known at the start
)

// epoch is when each world begins.
var epoch = time.Unix(1000, 0)

var errCall = errors.New("no answer")

func newWorld(seed uint64, hosts, domains int) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       epoch,
		changed:   make(map[uint64]time.Time),
		byAddress: make(map[netip.AddrPort]*host),
		inline:    0.7,
		viewLag:   time.Second,
	}
	for i := range hosts {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i % domains), byte(i + 1)}), 7200)
		h := &host{world: w, self: Host{Address: a, FailureDomain: "d" + strconv.Itoa(i%domains)}, events: make(map[event.Code]int)}
		w.hosts = append(w.hosts, h)
		w.byAddress[a] = h
		h.start(i >= seeds)
	}
	w.publishView()
	w.viewLag = 4 * time.Second
	return w
}

func (w *world) config(first bool) Config {
	readAfter, askAfter := time.Duration(0), 300*time.Millisecond
	if first {
		readAfter, askAfter = 1500*time.Millisecond, 0
	}

	return Config{
		MaxChangeDelay:         changeWithin,
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
func (w *world) allKnow(revision uint64) bool {
	for _, h := range w.hosts {
		if h.Revision() < revision {
			return false
		}
	}
	return true
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, entry{w.now.Add(d), w.seq, run})
}

// run lets the world go on for d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(entry)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// change makes a change in the store.
func (w *world) change() uint64 {
	w.revision++
	w.changed[w.revision] = w.now
	for _, h := range w.hosts {
		h.wakeWatch()
	}
	return w.revision
}

// publishView tells each host, after a lag, which hosts are alive now.
func (w *world) publishView() {
	var alive []Host
	for _, h := range w.hosts {
		if h.alive {
			alive = append(alive, h.self)
		}
	}
	w.after(w.viewLag/2+time.Duration(w.random.Float64()*float64(w.viewLag)/2), func() {
		for _, h := range w.hosts {
			h.input(h.life, func() { h.do(h.SetHosts(h.clock(), h.self, alive, true)) })
		}
	})
}

// start begins a process. First is true for one of a fleet that starts for the
// first time, where others read the store.
func (h *host) start(first bool) {
	h.life++
	h.alive, h.paused, h.held, h.watch = true, false, nil, nil
	h.delays = DelayEstimator{}
	h.harmed = h.world.now
	h.tick = time.Time{}
	h.frozen, h.stood = false, 0
	h.Core = New(h.world.now, h.world.config(first))
	var known []Host
	for _, s := range h.world.hosts[:min(seeds, len(h.world.hosts))] {
		known = append(known, Host{Address: s.self.Address})
	}
	h.input(h.life, func() { h.do(h.SetHosts(h.clock(), h.self, known, false)) })
}

func (h *host) kill() {
	h.alive = false
	h.life++
	h.harmed = h.world.now
	h.watch = nil
}

// pause stops the process; what arrives waits for it.
func (h *host) pause() { h.paused, h.harmed = true, h.world.now }

func (h *host) wake() {
	h.harmed = h.world.now
	h.paused = false
	held := h.held
	h.held = nil
	for _, f := range held {
		f()
	}
}

// clock is what the host measures by.
func (h *host) clock() time.Time { return h.world.now.Add(-h.stood) }

// resumeSeen is the longest time until a host sees that it was suspended.
const resumeSeen = 500 * time.Millisecond

// suspend stops the process and its clocks for a while.
func (h *host) suspend(length time.Duration) {
	w, life := h.world, h.life
	h.pause()
	h.frozen = true
	w.after(length, func() {
		if h.life != life {
			return
		}
		h.frozen = false
		h.tick = time.Time{}
		if w.naive {
			h.stood += length
			h.wake()
			h.schedule()
			return
		}
		h.wake()
		w.after(time.Duration(w.random.Float64()*float64(resumeSeen)), func() {
			h.input(life, func() { h.do(h.Tick(h.clock())) })
		})
	})
}

// input gives the core something, unless it is of another life.
func (h *host) input(life int, f func()) {
	switch {
	case life != h.life || !h.alive:
	case h.paused:
		h.held = append(h.held, f)
	default:
		f()
	}
}

// do carries out effects, and schedules the next tick.
func (h *host) do(e Effects) {
	for _, ev := range e.Events {
		h.events[ev.Code]++
	}
	if !e.RecoveredAt.IsZero() {
		h.returned++
	}
	switch {
	case e.Read && h.world.long:
		h.readLong()
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
		h.ask(*e.Fetch)
	}
	for _, way := range e.SendUpdate {
		if n, ok := h.Update(h.clock()); ok {
			n.Tree = way.Tree
			h.tell(way.To, n, true)
		}
	}
	for _, way := range e.SendOutageUpdate {
		if n, ok := h.OutageUpdate(h.clock()); ok {
			n.Tree = way.Tree
			h.tell(way.To, n, false)
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
	life := h.life
	h.world.after(max(0, due.Sub(h.clock())), func() {
		if h.frozen {
			return // resume goes on
		}
		h.input(life, func() {
			if h.tick.Equal(due) {
				h.tick = time.Time{}
				h.do(h.Tick(h.clock()))
			}
		})
	})
}

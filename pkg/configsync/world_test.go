package configsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// subject is what the world drives: the real Node or the naive variant.
type subject interface {
	SetMembers(time.Time, []Member) Effects
	Tick(time.Time) Effects
	Receive(time.Time, string, Message) Effects
	PlatformAnswered(time.Time, Answer) Effects
	PlatformFailed(time.Time, error) Effects
	Ready() bool
	State() *State
}

type host struct {
	Member
	subject
	paused   bool
	part     int
	frontier uint64
	floor    map[string]ID // in force so far, this incarnation
	required map[string]ID // what reachable peers had in force at the start
	clean    bool          // no message from or to it was lost since its start
}

type pending struct {
	at  time.Time
	seq int
	run func()
}

type schedule []pending

func (q schedule) Len() int { return len(q) }
func (q schedule) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q schedule) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *schedule) Push(x any)   { *q = append(*q, x.(pending)) }
func (q *schedule) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world is a message queue with a seeded order around many subjects.
type world struct {
	now      time.Time
	seq      int
	queue    schedule
	rand     *rand.Rand
	hosts    []*host
	create   func(*world, Member) subject
	platform fakePlatform
	loss     float64
	double   float64
	late     float64
	faults   map[string]int
	breaches []string
	onSend   func(from string, m Message)
	calls    int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tickEvery = 200 * time.Millisecond

func newWorld(seed uint64, size, domains int, create func(*world, Member) subject) *world {
	w := &world{now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), create: create, faults: make(map[string]int)}
	for i := range size {
		m := Member{fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), fmt.Sprintf("domain-%d", i%domains)}
		w.hosts = append(w.hosts, &host{Member: m})
	}
	return w
}

func (w *world) members() []Member {
	out := make([]Member, 0, len(w.hosts))
	for _, h := range w.hosts {
		out = append(out, h.Member)
	}
	return out
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, pending{w.now.Add(d), w.seq, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		p := heap.Pop(&w.queue).(pending)
		w.now = p.at
		p.run()
	}
	w.now = end
}

// boot starts a host that knows nothing.
func (w *world) boot(h *host) {
	h.subject = w.create(w, h.Member)
	h.paused = false
	h.frontier = 0
	h.floor = make(map[string]ID)
	h.required = make(map[string]ID)
	h.clean = w.loss == 0 && w.late == 0
	for _, p := range w.hosts {
		if p != h && p.subject != nil && !p.paused && p.part == h.part && p.Ready() {
			raise(h.required, p.State())
		}
	}
	me := h.subject
	w.act(h, h.SetMembers(w.now, w.members()))
	w.after(time.Duration(w.rand.Int64N(int64(tickEvery))), func() { w.tick(h, me) })
}

func (w *world) tick(h *host, me subject) {
	if h.subject != me {
		return
	}
	if !h.paused {
		w.act(h, h.Tick(w.now))
	}
	w.after(tickEvery, func() { w.tick(h, me) })
}

func raise(floor map[string]ID, s *State) {
	for k := range s.entries {
		if id := s.InForceID(k); id.Compare(floor[k]) > 0 {
			floor[k] = id
		}
	}
}

// act carries out effects and checks the promises.
func (w *world) act(h *host, e Effects) {
	for _, ev := range e.Events {
		switch ev.Code {
		case event.ConfigFellBack:
			w.breach(h, "invariant", "")
		case event.ConfigUnconfirmed:
			w.faults["starts-unconfirmed"]++
		case event.ConfigReady:
			if h.clean {
				w.faults["starts-checked"]++
				w.check(h, h.required, "start below a peer")
			}
		}
	}
	if e.InForce {
		w.check(h, h.floor, "fell back")
		raise(h.floor, h.State())
	}
	w.checkFrontier(h)
	for _, out := range e.Send {
		w.send(h, out)
	}
	if e.Read != nil {
		w.read(h, *e.Read)
	}
}

func (w *world) check(h *host, floor map[string]ID, what string) {
	for k, id := range floor {
		if h.State().InForceID(k).Compare(id) < 0 {
			w.breach(h, what, k)
		}
	}
}

// checkFrontier checks that a host misses no change up to its frontier.
func (w *world) checkFrontier(h *host) {
	f := h.State().Frontier()
	if f == h.frontier {
		return
	}
	h.frontier = f
	for _, v := range w.platform.history[:f] {
		if h.State().NewestID(v.Key).Revision < v.ID.Revision {
			w.breach(h, "frontier above a missing change", v.Key)
		}
	}
}

func (w *world) breach(h *host, what, key string) {
	w.faults["BREACH "+what]++
	w.breaches = append(w.breaches, fmt.Sprintf("%s: %s %s at %v", h.Address, what, key, w.now.Sub(epoch)))
}

func (w *world) send(from *host, out Outgoing) {
	if w.onSend != nil {
		w.onSend(from.Address, out.Message)
	}
	to := w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.Address == out.To })]
	if w.rand.Float64() < w.loss {
		w.faults["lost"]++
		from.clean, to.clean = false, false
		return
	}
	delay := time.Millisecond + time.Duration(w.rand.Int64N(int64(5*time.Millisecond)))
	if w.rand.Float64() < w.late {
		w.faults["late"]++
		from.clean, to.clean = false, false
		delay += time.Duration(w.rand.Int64N(int64(5 * time.Second)))
	}
	w.after(delay, func() { w.deliver(from, to, out.Message) })
	if w.rand.Float64() < w.double {
		w.faults["doubled"]++
		w.after(2*delay, func() { w.deliver(from, to, out.Message) })
	}
}

func (w *world) deliver(from, to *host, m Message) {
	switch {
	case to.subject == nil || from.part != to.part:
		from.clean, to.clean = false, false
	case to.paused:
		from.clean = false
		w.after(tickEvery, func() { w.deliver(from, to, m) })
	default:
		w.act(to, to.Receive(w.now, from.Address, m))
	}
}

var errDown = errors.New("platform is down")

// read makes one call of the platform, which may wait for a change.
func (w *world) read(h *host, r Read) {
	w.calls++
	me := h.subject
	deadline := w.now.Add(r.Wait)
	var try func()
	try = func() {
		if h.subject != me {
			return
		}
		if h.paused {
			w.after(tickEvery, try)
			return
		}
		a, ok := w.platform.answer(r.After, w.rand)
		switch {
		case !ok:
			w.act(h, h.PlatformFailed(w.now, errDown))
		case len(a.Versions) > 0 || !w.now.Before(deadline):
			w.act(h, h.PlatformAnswered(w.now, a))
		default:
			w.after(20*time.Millisecond, try)
		}
	}
	w.after(2*time.Millisecond, try)
}

// fakePlatform is a history of versions of which it may show an old part.
type fakePlatform struct {
	history []Version
	twins   map[uint64]Version // other content for a revision
	shown   int                // length of the part shown if stale
	stale   bool
	down    bool
}

func (p *fakePlatform) publish(key string, deleted bool, value []byte) Version {
	v := NewVersion(key, uint64(len(p.history)+1), deleted, value)
	p.history = append(p.history, v)
	return v
}

func (p *fakePlatform) answer(after uint64, r *rand.Rand) (Answer, bool) {
	if p.down {
		return Answer{}, false
	}
	shown := p.history
	if p.stale {
		shown = shown[:p.shown]
	}
	newest := make(map[string]Version)
	for _, v := range shown[min(after, uint64(len(shown))):] {
		if twin, ok := p.twins[v.ID.Revision]; ok && r.IntN(2) == 0 {
			v = twin
		}
		newest[v.Key] = v
	}
	out := Answer{Revision: uint64(len(shown))}
	for _, v := range newest {
		out.Versions = append(out.Versions, v)
	}
	slices.SortFunc(out.Versions, func(a, b Version) int { return a.ID.Compare(b.ID) })
	return out, true
}

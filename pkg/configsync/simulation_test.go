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

// subject is the node under test: a real Node or the naive variant.
type subject interface {
	SetMembers(time.Time, []Member) Effects
	Tick(time.Time) Effects
	Receive(time.Time, string, Message) Effects
	ReadDone(time.Time, ReadResult) Effects
	ReadFailed(time.Time, error) Effects
	Ready() bool
	State() *State
}

type host struct {
	Member
	subject
	paused    bool
	partition int
	frontier  uint64
	floor     map[string]ID // newest current versions of this incarnation so far
	required  map[string]ID // current versions of reachable, ready peers at its start
	clean     bool          // no message from or to it was lost or delayed since its start
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

// simulation is a deterministic discrete-event simulation of a fleet.
type simulation struct {
	now        time.Time
	seq        int
	queue      schedule
	rand       *rand.Rand
	hosts      []*host
	create     func(*simulation, Member) subject
	platform   fakePlatform
	loss       float64
	duplicate  float64
	delayed    float64
	faults     map[string]int
	violations []string
	onSend     func(from string, m Message)
	calls      int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tickInterval = 200 * time.Millisecond

func newSimulation(seed uint64, size, domains int, create func(*simulation, Member) subject) *simulation {
	s := &simulation{now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), create: create, faults: make(map[string]int)}
	for i := range size {
		m := Member{fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), fmt.Sprintf("domain-%d", i%domains)}
		s.hosts = append(s.hosts, &host{Member: m})
	}
	return s
}

func (s *simulation) members() []Member {
	out := make([]Member, 0, len(s.hosts))
	for _, h := range s.hosts {
		out = append(out, h.Member)
	}
	return out
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, pending{s.now.Add(d), s.seq, run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		p := heap.Pop(&s.queue).(pending)
		s.now = p.at
		p.run()
	}
	s.now = end
}

// start starts a host with an empty state.
func (s *simulation) start(h *host) {
	h.subject = s.create(s, h.Member)
	h.paused = false
	h.frontier = 0
	h.floor = make(map[string]ID)
	h.required = make(map[string]ID)
	h.clean = s.loss == 0 && s.delayed == 0
	for _, p := range s.hosts {
		if p != h && p.subject != nil && !p.paused && p.partition == h.partition && p.Ready() {
			raise(h.required, p.State())
		}
	}
	self := h.subject
	s.apply(h, h.SetMembers(s.now, s.members()))
	s.after(time.Duration(s.rand.Int64N(int64(tickInterval))), func() { s.tick(h, self) })
}

func (s *simulation) tick(h *host, self subject) {
	if h.subject != self {
		return
	}
	if !h.paused {
		s.apply(h, h.Tick(s.now))
	}
	s.after(tickInterval, func() { s.tick(h, self) })
}

func raise(floor map[string]ID, s *State) {
	for k := range s.entries {
		if id := s.InForceID(k); id.Compare(floor[k]) > 0 {
			floor[k] = id
		}
	}
}

// apply carries out effects and checks the invariants.
func (s *simulation) apply(h *host, e Effects) {
	for _, ev := range e.Events {
		switch ev.Code {
		case event.ConfigFellBack:
			s.violation(h, "invariant", "")
		case event.ConfigUnconfirmed:
			s.faults["starts-unconfirmed"]++
		case event.ConfigReady:
			if h.clean {
				s.faults["starts-checked"]++
				s.check(h, h.required, "started older than a peer")
			}
		}
	}
	if e.InForce {
		s.check(h, h.floor, "regressed")
		raise(h.floor, h.State())
	}
	s.checkFrontier(h)
	for _, out := range e.Send {
		s.send(h, out)
	}
	if e.Read != nil {
		s.read(h, *e.Read)
	}
}

func (s *simulation) check(h *host, floor map[string]ID, what string) {
	for k, id := range floor {
		if h.State().InForceID(k).Compare(id) < 0 {
			s.violation(h, what, k)
		}
	}
}

// checkFrontier checks that a host has every change up to its frontier.
func (s *simulation) checkFrontier(h *host) {
	f := h.State().Frontier()
	if f == h.frontier {
		return
	}
	h.frontier = f
	for _, v := range s.platform.history[:f] {
		if h.State().NewestID(v.Key).Revision < v.ID.Revision {
			s.violation(h, "frontier above a missing change", v.Key)
		}
	}
}

func (s *simulation) violation(h *host, what, key string) {
	s.faults["VIOLATION "+what]++
	s.violations = append(s.violations, fmt.Sprintf("%s: %s %s at %v", h.Address, what, key, s.now.Sub(epoch)))
}

func (s *simulation) send(from *host, out Outgoing) {
	if s.onSend != nil {
		s.onSend(from.Address, out.Message)
	}
	to := s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.Address == out.To })]
	if s.rand.Float64() < s.loss {
		s.faults["lost"]++
		from.clean, to.clean = false, false
		return
	}
	delay := time.Millisecond + time.Duration(s.rand.Int64N(int64(5*time.Millisecond)))
	if s.rand.Float64() < s.delayed {
		s.faults["late"]++
		from.clean, to.clean = false, false
		delay += time.Duration(s.rand.Int64N(int64(5 * time.Second)))
	}
	s.after(delay, func() { s.deliver(from, to, out.Message) })
	if s.rand.Float64() < s.duplicate {
		s.faults["doubled"]++
		s.after(2*delay, func() { s.deliver(from, to, out.Message) })
	}
}

func (s *simulation) deliver(from, to *host, m Message) {
	switch {
	case to.subject == nil || from.partition != to.partition:
		from.clean, to.clean = false, false
	case to.paused:
		from.clean = false
		s.after(tickInterval, func() { s.deliver(from, to, m) })
	default:
		s.apply(to, to.Receive(s.now, from.Address, m))
	}
}

var errDown = errors.New("platform is down")

// read makes one call of the platform, which may wait for a change (long poll).
func (s *simulation) read(h *host, r Read) {
	s.calls++
	self := h.subject
	deadline := s.now.Add(r.Wait)
	var try func()
	try = func() {
		if h.subject != self {
			return
		}
		if h.paused {
			s.after(tickInterval, try)
			return
		}
		a, ok := s.platform.respond(r.After, s.rand)
		switch {
		case !ok:
			s.apply(h, h.ReadFailed(s.now, errDown))
		case len(a.Versions) > 0 || !s.now.Before(deadline):
			s.apply(h, h.ReadDone(s.now, a))
		default:
			s.after(20*time.Millisecond, try)
		}
	}
	s.after(2*time.Millisecond, try)
}

// fakePlatform is a history of versions. A stale platform returns only the oldest
// part of it.
type fakePlatform struct {
	history     []Version
	conflicting map[uint64]Version // second content for a revision, returned at random
	shown       int                // number of versions returned if stale
	stale       bool
	down        bool
}

func (p *fakePlatform) publish(key string, deleted bool, value []byte) Version {
	v := NewVersion(key, uint64(len(p.history)+1), deleted, value)
	p.history = append(p.history, v)
	return v
}

func (p *fakePlatform) respond(after uint64, r *rand.Rand) (ReadResult, bool) {
	if p.down {
		return ReadResult{}, false
	}
	shown := p.history
	if p.stale {
		shown = shown[:p.shown]
	}
	newest := make(map[string]Version)
	for _, v := range shown[min(after, uint64(len(shown))):] {
		if other, ok := p.conflicting[v.ID.Revision]; ok && r.IntN(2) == 0 {
			v = other
		}
		newest[v.Key] = v
	}
	out := ReadResult{Revision: uint64(len(shown))}
	for _, v := range newest {
		out.Versions = append(out.Versions, v)
	}
	slices.SortFunc(out.Versions, func(a, b Version) int { return a.ID.Compare(b.ID) })
	return out, true
}

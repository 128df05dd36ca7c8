// Package ratelimit enforces the limits that upstreams announce in their responses when they
// are under pressure: how many requests a second they accept from all hosts together. A limit
// holds for as long as the upstream announces it.
//
// The hosts divide such a limit by the time slots of pkg/timeslot: there are as many slots a
// second as the upstream accepts requests, each slot belongs to one host, and a host may use
// its slot for one request, up to SlotValidity later. The hosts send one another what upstreams
// announce, so that a host respects a limit before it received a response with it, and learns
// of the end of a limit even if its own next slot is a long time off.
//
// In any period w, an upstream that accepts r requests a second receives at most
// r(w+SlotValidity+2d)+2 if the hosts agree on their positions and their clocks agree within d
// seconds: this is the number of slots that begin in the period or in the SlotValidity before
// it, plus one slot that is valid until the next one begins. If the hosts form k groups that
// count differently, each group sends that much.
//
// The package does no I/O, reads no clock and draws no random numbers.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	// SlotValidity is how long after its start a slot may be used; a slot that lasts longer
	// may be used until the next one begins. Hosts need this because requests arrive when
	// callers send them, not in the slots of the host. The slots that are saved up this way
	// are half of what upstreams tolerate above their limit, which is two seconds' worth.
	SlotValidity = time.Second
	// ConfirmInterval is the time after which a host that has a slot finds out whether a limit
	// still holds, so that the upstream has its share again soon after it announces no limit
	// any more.
	ConfirmInterval = time.Second
	// MinPerSecond is the lowest rate at which requests are sent to an upstream that announces
	// a smaller limit, or 0: only a response shows that it accepts more again.
	MinPerSecond = 0.25
)

// Source is where a host learned of a limit.
type Source uint8

const (
	// Answer is the response to a request.
	Answer Source = iota
	// Probe is the response to a load query.
	Probe
	// Peer is another host.
	Peer
)

// String returns the name of the source in events.
func (s Source) String() string {
	switch s {
	case Answer:
		return "answer"
	case Probe:
		return "probe"
	default:
		return "peer"
	}
}

// State is what one host knows of the limit of one upstream, and the host's slots there. All
// records of an upstream share one State. It is safe for concurrent use. A nil State has no
// limit and ignores what it observes.
type State struct {
	id       string
	server   Server
	schedule *timeslot.Schedule

	current  atomic.Pointer[activeLimit] // nil while no limit is known
	counters *counters                   // of the registry; nil outside one

	mu    sync.Mutex // serializes changes
	ended time.Time  // when a limit was last known to have ended
}

// activeLimit is a limit that currently holds.
type activeLimit struct {
	perSecond float64
	// first is when this host learned that the upstream announces any limit, and since is when
	// it learned of this one. Slots before since are void.
	first, since time.Time

	announced  atomic.Int64 // when the upstream last announced it, Unix time in ns
	inResponse atomic.Bool  // a response to a request announced it
	inProbe    atomic.Bool  // a response to a probe announced it
	lastUsed   atomic.Int64 // number of the last slot that was used
}

// NewState returns the initial state of an upstream at a host with the given schedule. StartedAt
// is the start time that the upstream itself reports, or 0.
func NewState(id string, startedAt int64, t *timeslot.Schedule) *State {
	return &State{id: id, server: ServerOf(id, startedAt), schedule: t}
}

// ID returns the upstream's id.
func (s *State) ID() string { return s.id }

// Server returns the identity of the upstream among hosts.
func (s *State) Server() Server { return s.server }

// Limit returns the limit that is currently known.
func (s *State) Limit() Limit {
	if a := s.current.Load(); a != nil {
		return Limit{Kind: Limited, PerSecond: a.perSecond}
	}
	return Limit{Kind: Unlimited}
}

// Observe records what a response that arrived now announces. Sent is when its request or
// probe was sent. It reports whether the known limit changes.
func (s *State) Observe(now, sent time.Time, l Limit, from Source) bool {
	if s == nil || l.Kind == Unspecified || l.Kind == Unlimited && s.current.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Kind == Limited {
		return s.set(now, now, l.PerSecond, from)
	}
	known := s.current.Load()
	if known == nil || !known.endedBy(sent, from) {
		return false
	}
	s.end(now)
	return true
}

// endedBy reports whether a response that announces no limit shows that this one has ended.
// The response to a request that was sent before the limit was known may be older than the
// limit, and some upstreams announce it only in responses to requests or only in those to
// probes.
func (a *activeLimit) endedBy(sent time.Time, from Source) bool {
	if sent.Before(a.first) {
		return false
	}
	if from == Probe {
		return a.inProbe.Load()
	}
	return a.inResponse.Load() || !a.inProbe.Load()
}

// set records that a limit was announced at the given time. It reports whether it differs from
// the known one.
func (s *State) set(now, announced time.Time, perSecond float64, from Source) bool {
	known := s.current.Load()
	next := known
	if known == nil || known.perSecond != perSecond {
		next = &activeLimit{perSecond: perSecond, first: now, since: now}
	}
	if known != nil && next != known {
		next.first = known.first
		next.inResponse.Store(known.inResponse.Load())
		next.inProbe.Store(known.inProbe.Load())
	}
	next.announced.Store(announced.UnixNano())
	switch from {
	case Answer:
		next.inResponse.Store(true)
	case Probe:
		next.inProbe.Store(true)
	case Peer:
	}
	s.replace(next)
	return next != known
}

// replace makes a limit the current one; nil is none. It keeps the counters up to date.
func (s *State) replace(next *activeLimit) {
	known := s.current.Swap(next)
	if s.counters == nil {
		return
	}
	switch {
	case known == nil && next != nil:
		s.counters.active.Add(1)
	case known != nil && next == nil:
		s.counters.active.Add(-1)
	}
}

// end records that the limit has ended at the given time.
func (s *State) end(at time.Time) {
	s.replace(nil)
	s.ended = at
	if s.counters != nil {
		s.counters.lastEnd.Store(at.UnixNano())
	}
}

// Limited reports whether the upstream announces a limit.
func (s *State) Limited() bool { return s != nil && s.current.Load() != nil }

// Open reports whether this host may send a request now.
func (s *State) Open(now time.Time) bool { return !s.Limited() || s.Delay(now) == 0 }

// Take uses a slot of this host for one request. It returns false if the host has no valid
// slot, for example because another request has just used it.
func (s *State) Take(now time.Time) bool {
	if s == nil {
		return true
	}
	a := s.current.Load()
	if a == nil {
		return true
	}
	for {
		used := a.lastUsed.Load()
		slot := s.nextAfter(now, a, used)
		if slot.start.After(now) {
			return false
		}
		if a.lastUsed.CompareAndSwap(used, slot.number) {
			return true
		}
	}
}

// Delay returns the time until this host may send a request; 0 if it may send one now.
func (s *State) Delay(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	a := s.current.Load()
	if a == nil {
		return 0
	}
	return max(s.next(now, a).start.Sub(now), 0)
}

// Lender returns the index of another host that owned a slot recently and may not have used
// it, or false if there is none. Random is a uniformly distributed number.
func (s *State) Lender(now time.Time, random uint64) (host int, ok bool) {
	if s == nil {
		return 0, false
	}
	a := s.current.Load()
	if a == nil {
		return 0, false
	}
	from := a.firstSlotFrom(s.validFrom(now, a))
	begun := a.firstSlotFrom(now) - from
	if begun <= 0 {
		return 0, false
	}
	position, _ := s.schedule.Position()
	first := int64(random % uint64(begun))
	for i := range min(begun, 2) { // of two consecutive slots, at most one belongs to this host
		host = s.schedule.Owner(from+(first+i)%begun, s.server.IDHash)
		if host != position.Self {
			return host, true
		}
	}
	return 0, false
}

// Lend uses a slot of this host for a request of another host. It returns false if this host
// has no valid slot, or no limit is known.
func (s *State) Lend(now time.Time) bool { return s.Limited() && s.Take(now) }

// Unconfirmed reports whether a limit is known that has not been announced for
// ConfirmInterval, as far as this host knows.
func (s *State) Unconfirmed(now time.Time) bool {
	if s == nil {
		return false
	}
	a := s.current.Load()
	return a != nil && now.UnixNano()-a.announced.Load() > int64(ConfirmInterval)
}

// HostRate returns the number of requests a second that this host may send; infinite without a
// limit.
func (s *State) HostRate() float64 {
	if s == nil {
		return math.Inf(1)
	}
	a := s.current.Load()
	if a == nil {
		return math.Inf(1)
	}
	position, _ := s.schedule.Position()
	return a.rate() / float64(position.Hosts)
}

// ownSlot is a slot of this host and its start.
type ownSlot struct {
	number int64
	start  time.Time
}

// next returns this host's first slot that is neither used nor expired.
func (s *State) next(now time.Time, a *activeLimit) ownSlot {
	return s.nextAfter(now, a, a.lastUsed.Load())
}

// nextAfter is next for a given last used slot.
func (s *State) nextAfter(now time.Time, a *activeLimit, used int64) ownSlot {
	number := s.schedule.Next(max(a.firstSlotFrom(s.validFrom(now, a)), used+1), s.server.IDHash)
	return ownSlot{number, a.slotStart(number)}
}

// validFrom returns the earliest start of a slot that can still be used. Slots from before this
// host learned of the limit, or before it had its position, are void: another host may have
// used them.
func (s *State) validFrom(now time.Time, a *activeLimit) time.Time {
	from := now.Add(-max(SlotValidity, a.slotLength()))
	if from.Before(a.since) {
		from = a.since
	}
	if _, since := s.schedule.Position(); from.Before(since) {
		from = since
	}
	return from
}

// rate returns the number of slots a second.
func (a *activeLimit) rate() float64 { return max(a.perSecond, MinPerSecond) }

// slotLength returns the duration of a slot.
func (a *activeLimit) slotLength() time.Duration {
	return time.Duration(float64(time.Second) / a.rate())
}

// firstSlotFrom returns the first slot that begins at or after the given time.
func (a *activeLimit) firstSlotFrom(at time.Time) int64 {
	return int64(math.Ceil(float64(at.UnixNano()) / float64(time.Second) * a.rate()))
}

// slotStart returns the start of a slot.
func (a *activeLimit) slotStart(number int64) time.Time {
	return time.Unix(0, int64(float64(number)/a.rate()*float64(time.Second)))
}

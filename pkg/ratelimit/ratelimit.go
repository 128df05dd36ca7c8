// Package ratelimit keeps to the limits that upstreams in need name in their answers: how
// many requests a second they take from all hosts together, for as long as they say so.
//
// The hosts share such a limit by the turns of pkg/timeslot: there are as many slots a second
// as the upstream takes requests, each slot is the turn of one host, and a host may use its
// turn for one request, up to SlotValidity later. They tell one another what upstreams say, so that
// a host holds back before it was told itself, and knows of the end of a limit although its
// own next turn may be a long time off.
//
// Within a time w, an upstream that takes r requests a second gets at most r(w+SlotValidity+2d)+2
// where the hosts agree on their numbers and their clocks agree within d seconds: so many
// slots begin in the time and in the SlotValidity before it, and one lasts until the next. Where the
// hosts are in k groups that count differently, each group sends that much.
//
// The package does no I/O, reads no clock and draws no randomness.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	// SlotValidity is how long after its slot has begun a turn may be used, or until the next slot
	// begins if that is later: hosts get requests when callers send them, not in their
	// slots. What is saved up is half of the two seconds' worth that upstreams bear above
	// their limit.
	SlotValidity = time.Second
	// ConfirmInterval is the time after which a host that has a turn finds out whether a limit
	// still holds: the upstream has its share again soon after it names none any more.
	ConfirmInterval = time.Second
	// MinPerSecond is the least that is sent to an upstream that names a smaller limit, or
	// 0: only an answer says that it takes more again.
	MinPerSecond = 0.25
)

// Source is where a host heard of a limit.
type Source uint8

const (
	// Answer is the answer to a request.
	Answer Source = iota
	// Probe is the answer to a question for the load.
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

// State is what one host knows of the limit of one upstream, and its turns there. All
// records of an upstream share one. It is safe for concurrent use; a nil State knows of no
// limit and hears of none.
type State struct {
	id     string
	server Server
	turns  *timeslot.Schedule

	current atomic.Pointer[naming] // nil while no limit is known
	tally   *tally                 // of a book; nil outside one

	mu    sync.Mutex // orders the changes of what is known
	ended time.Time  // when a limit was last known to have ended
}

// naming is a limit in force.
type naming struct {
	perSecond float64
	// first is when this host heard that the upstream names a limit at all, and since when
	// it heard this one. Turns before are void.
	first, since time.Time

	heard    atomic.Int64 // when the newest word of it was said, Unix time in ns
	byAnswer atomic.Bool  // an answer to a request named it
	byProbe  atomic.Bool  // an answer to a probe named it
	used     atomic.Int64 // number of the last slot whose turn was used
}

// NewState returns what a host whose turns are given knows at first of an upstream. Born is
// the start that the upstream names itself, or 0.
func NewState(id string, born int64, t *timeslot.Schedule) *State {
	return &State{id: id, server: ServerOf(id, born), turns: t}
}

// ID is the upstream's id.
func (s *State) ID() string { return s.id }

// Server names the upstream among hosts.
func (s *State) Server() Server { return s.server }

// Limit returns what is known.
func (s *State) Limit() Limit {
	if n := s.current.Load(); n != nil {
		return Limit{Kind: Limited, PerSecond: n.perSecond}
	}
	return Limit{Kind: Unlimited}
}

// Observe takes in what an answer says that came now, to a request or a probe that was sent at
// a time. It reports whether that changes what is known.
func (s *State) Observe(now, sent time.Time, w Limit, from Source) bool {
	if s == nil || w.Kind == Unspecified || w.Kind == Unlimited && s.current.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Kind == Limited {
		return s.name(now, now, w.PerSecond, from)
	}
	known := s.current.Load()
	if known == nil || !known.endedBy(sent, from) {
		return false
	}
	s.end(now)
	return true
}

// endedBy reports whether an answer that names no limit says that this one has ended. One
// to a request that was sent before the limit was known may be older than the limit; and
// upstreams may name it in answers of one kind only.
func (n *naming) endedBy(sent time.Time, from Source) bool {
	if sent.Before(n.first) {
		return false
	}
	if from == Probe {
		return n.byProbe.Load()
	}
	return n.byAnswer.Load() || !n.byProbe.Load()
}

// name takes in that a limit was named at a time. It reports whether it is another one than
// was known.
func (s *State) name(now, said time.Time, perSecond float64, from Source) bool {
	known := s.current.Load()
	next := known
	if known == nil || known.perSecond != perSecond {
		next = &naming{perSecond: perSecond, first: now, since: now}
	}
	if known != nil && next != known {
		next.first = known.first
		next.byAnswer.Store(known.byAnswer.Load())
		next.byProbe.Store(known.byProbe.Load())
	}
	next.heard.Store(said.UnixNano())
	switch from {
	case Answer:
		next.byAnswer.Store(true)
	case Probe:
		next.byProbe.Store(true)
	case Peer:
	}
	s.put(next)
	return next != known
}

// put takes a limit into force, or none.
func (s *State) put(next *naming) {
	known := s.current.Swap(next)
	if s.tally == nil {
		return
	}
	switch {
	case known == nil && next != nil:
		s.tally.inForce.Add(1)
	case known != nil && next == nil:
		s.tally.inForce.Add(-1)
	}
}

// end takes in that a limit has ended at a time.
func (s *State) end(at time.Time) {
	s.put(nil)
	s.ended = at
	if s.tally != nil {
		s.tally.ended.Store(at.UnixNano())
	}
}

// Limited reports whether the upstream names a limit.
func (s *State) Limited() bool { return s != nil && s.current.Load() != nil }

// Open reports whether this host may send a request now.
func (s *State) Open(now time.Time) bool { return !s.Limited() || s.Delay(now) == 0 }

// Take uses a turn of this host for one request. It is false if there is none, or no longer.
func (s *State) Take(now time.Time) bool {
	if s == nil {
		return true
	}
	n := s.current.Load()
	if n == nil {
		return true
	}
	for {
		used := n.used.Load()
		turn := s.nextAfter(now, n, used)
		if turn.at.After(now) {
			return false
		}
		if n.used.CompareAndSwap(used, turn.slot) {
			return true
		}
	}
}

// Delay returns how long it takes until this host may send a request; 0 if it may now.
func (s *State) Delay(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	n := s.current.Load()
	if n == nil {
		return 0
	}
	return max(s.next(now, n).at.Sub(now), 0)
}

// Lender returns the number of another host that had a turn lately and may not have used it;
// false if none had. Random is a uniformly distributed number.
func (s *State) Lender(now time.Time, random uint64) (host int, ok bool) {
	if s == nil {
		return 0, false
	}
	n := s.current.Load()
	if n == nil {
		return 0, false
	}
	from := n.slotFrom(s.validFrom(now, n))
	begun := n.slotFrom(now) - from
	if begun <= 0 {
		return 0, false
	}
	place, _ := s.turns.Position()
	first := int64(random % uint64(begun))
	for i := range min(begun, 2) { // two slots in a row are not both this host's
		host = s.turns.Owner(from+(first+i)%begun, s.server.IDHash)
		if host != place.Self {
			return host, true
		}
	}
	return 0, false
}

// Lend uses a turn of this host for a request of another one. It is false if there is none,
// or no limit is known.
func (s *State) Lend(now time.Time) bool { return s.Limited() && s.Take(now) }

// Unconfirmed reports whether a limit is known that this host has heard nothing of for
// ConfirmInterval.
func (s *State) Unconfirmed(now time.Time) bool {
	if s == nil {
		return false
	}
	n := s.current.Load()
	return n != nil && now.UnixNano()-n.heard.Load() > int64(ConfirmInterval)
}

// HostRate returns how many requests a second this host may send; infinite without a limit.
func (s *State) HostRate() float64 {
	if s == nil {
		return math.Inf(1)
	}
	n := s.current.Load()
	if n == nil {
		return math.Inf(1)
	}
	place, _ := s.turns.Position()
	return n.rate() / float64(place.Hosts)
}

// turn is a slot of this host and when it begins.
type turn struct {
	slot int64
	at   time.Time
}

// next returns this host's first turn that is not used and not over.
func (s *State) next(now time.Time, n *naming) turn { return s.nextAfter(now, n, n.used.Load()) }

// nextAfter is next with the last slot that is used.
func (s *State) nextAfter(now time.Time, n *naming, used int64) turn {
	slot := s.turns.Next(max(n.slotFrom(s.validFrom(now, n)), used+1), s.server.IDHash)
	return turn{slot, n.begins(slot)}
}

// validFrom returns when the oldest slot may have begun whose turn can be used. Turns from
// before the limit was heard, or before this host had its number, are void: others may have
// used them.
func (s *State) validFrom(now time.Time, n *naming) time.Time {
	from := now.Add(-max(SlotValidity, n.slot()))
	if from.Before(n.since) {
		from = n.since
	}
	if _, placed := s.turns.Position(); from.Before(placed) {
		from = placed
	}
	return from
}

// rate is how many slots there are a second.
func (n *naming) rate() float64 { return max(n.perSecond, MinPerSecond) }

// slot is how long a slot lasts.
func (n *naming) slot() time.Duration { return time.Duration(float64(time.Second) / n.rate()) }

// slotFrom returns the first slot that begins at a time or after it.
func (n *naming) slotFrom(at time.Time) int64 {
	return int64(math.Ceil(float64(at.UnixNano()) / float64(time.Second) * n.rate()))
}

// begins returns when a slot begins.
func (n *naming) begins(slot int64) time.Time {
	return time.Unix(0, int64(float64(slot)/n.rate()*float64(time.Second)))
}

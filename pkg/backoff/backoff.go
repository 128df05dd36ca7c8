// Package backoff keeps the times of rest that upstreams ask one entry host for when they
// turn its requests away: 503 with a time in which they want nothing more from it. An
// upstream that rests often reports itself idle meanwhile, so that no load report replaces
// what it asked for.
//
// The package does no I/O, reads no clock and draws no randomness. Times are the caller's,
// of one clock; a step of the time of day changes nothing where they carry the steady one.
package backoff

import (
	"sync/atomic"
	"time"
)

const (
	// ResumeJitter is the width of the time over which the hosts that were turned away at
	// the same moment come back; a shorter rest is followed by a spread as short as itself.
	// With RetryableOnlyPeriod, an upstream has its share again within half a second.
	ResumeJitter = 300 * time.Millisecond
	// TrialTimeout is how long the first request after a rest goes alone: a refusal is back
	// in a round trip, which is below 10 ms.
	TrialTimeout = 50 * time.Millisecond
	// RetryableOnlyPeriod is how long after a rest only requests that could be sent again if they are
	// turned away try whether it is over.
	RetryableOnlyPeriod = 200 * time.Millisecond
)

// State is what one host knows of the rest of one upstream. The zero value knows of none.
// It is safe for concurrent use.
type State struct {
	newest atomic.Pointer[interval]
}

// interval is one time of rest. It stays in place after its end until the upstream has
// answered a request without asking for more.
type interval struct {
	until time.Time
	// tried is how long after its end the first request was sent, plus 1; 0 if none was.
	tried atomic.Int64
}

// Begin takes in that the upstream wants nothing from now on for a time, and returns until
// when it gets nothing. Random is a uniformly distributed number; it spreads the hosts.
func (s *State) Begin(now time.Time, d time.Duration, random uint64) time.Time {
	width := min(d, ResumeJitter)
	late := time.Duration(float64(random>>11) / (1 << 53) * float64(width))
	return s.Extend(now.Add(d + late))
}

// Extend takes in that the upstream gets nothing until a time, unless it is known to rest
// for longer. It returns until when it rests. The zero time says nothing.
func (s *State) Extend(until time.Time) time.Time {
	if until.IsZero() {
		return until
	}
	next := &interval{until: until}
	for {
		known := s.newest.Load()
		if known != nil && !until.After(known.until) {
			return known.until
		}
		if s.newest.CompareAndSwap(known, next) {
			return until
		}
	}
}

// Open reports whether a request may be sent now. Last states that it could not be sent
// again if it were turned away.
func (s *State) Open(now time.Time, last bool) bool {
	i := s.newest.Load()
	return i == nil || i.open(now.Sub(i.until), last)
}

// open is Open at a time after the end.
func (i *interval) open(since time.Duration, last bool) bool {
	if since < 0 {
		return false
	}
	tried := i.tried.Load()
	if tried == 0 {
		return !last || since >= RetryableOnlyPeriod
	}
	return since >= time.Duration(tried)+TrialTimeout
}

// Try is called right before a request is sent. It is false if the upstream rests, or
// another request was sent first after a rest and may still be turned away.
func (s *State) Try(now time.Time) bool {
	i := s.newest.Load()
	if i == nil {
		return true
	}
	since := now.Sub(i.until)
	if since < 0 {
		return false
	}
	return i.tried.CompareAndSwap(0, int64(since)+1) || since >= time.Duration(i.tried.Load())+TrialTimeout
}

// Answered takes in an answer that asks for no rest: if the rest is over, the upstream has
// its share again.
func (s *State) Answered(now time.Time) {
	if i := s.newest.Load(); i != nil && !now.Before(i.until) {
		s.newest.CompareAndSwap(i, nil)
	}
}

// Merge takes in what another state knows.
func (s *State) Merge(o *State) {
	if i := o.newest.Load(); i != nil {
		s.Extend(i.until)
	}
}

// Delay returns how much longer no request may be sent: until the end of the rest, or until
// the first request after it may have been turned away. It is 0 if one may be sent now.
func (s *State) Delay(now time.Time) time.Duration {
	i := s.newest.Load()
	if i == nil {
		return 0
	}
	since := now.Sub(i.until)
	if since < 0 {
		return -since
	}
	if tried := i.tried.Load(); tried != 0 {
		return max(time.Duration(tried)+TrialTimeout-since, 0)
	}
	return 0
}

// Package backoff records how long upstreams ask one entry host to send them nothing. An
// upstream asks for this when it rejects a request: 503 with a time in Retry-After. An
// upstream that is backing off often reports itself as idle during that time, so a load
// report does not replace what it asked for.
//
// The package does no I/O, reads no clock and draws no random numbers. The caller passes in
// all times, from a single clock; a step of the wall clock has no effect if they carry a
// monotonic reading.
package backoff

import (
	"sync/atomic"
	"time"
)

const (
	// ResumeJitter is the width of the interval over which hosts that were rejected at the
	// same moment resume; after a shorter backoff, the interval is as long as the backoff.
	// Together with RetryableOnlyPeriod, an upstream has its share again within half a second.
	ResumeJitter = 300 * time.Millisecond
	// TrialTimeout is how long the first request after a backoff is the only one: a rejection
	// arrives after one round trip, which takes less than 10 ms.
	TrialTimeout = 50 * time.Millisecond
	// RetryableOnlyPeriod is how long after a backoff only requests that can be retried after
	// a rejection are used to find out whether the upstream accepts requests again.
	RetryableOnlyPeriod = 200 * time.Millisecond
)

// State is what one host knows of the backoff of one upstream. The zero value has no backoff.
// It is safe for concurrent use.
type State struct {
	newest atomic.Pointer[interval]
}

// interval is one backoff. It is kept after its end until the upstream has answered a request
// without asking for another one.
type interval struct {
	until time.Time
	// tried is the time from the end of the backoff to the first request after it, plus 1; 0
	// if none was sent.
	tried atomic.Int64
}

// Begin records that the upstream asks for a backoff of duration d from now on, and returns
// the end of the backoff with jitter. Random is a uniformly distributed number, from which
// the jitter is computed.
func (s *State) Begin(now time.Time, d time.Duration, random uint64) time.Time {
	width := min(d, ResumeJitter)
	jitter := time.Duration(float64(random>>11) / (1 << 53) * float64(width))
	return s.Extend(now.Add(d + jitter))
}

// Extend records that the upstream is backing off until the given time, unless it is known to
// back off for longer. It returns the resulting end of the backoff. The zero time changes
// nothing.
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

// Open reports whether a request may be sent now. Last states that the request could not be
// retried after a rejection.
func (s *State) Open(now time.Time, last bool) bool {
	i := s.newest.Load()
	return i == nil || i.open(now.Sub(i.until), last)
}

// open implements Open for a time relative to the end of the backoff.
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

// Try must be called right before a request is sent. It returns false if the upstream is
// backing off, or if another request was sent first after the backoff and may still be
// rejected.
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

// Answered records a response that asks for no backoff. If the backoff is over, the upstream
// has its share again.
func (s *State) Answered(now time.Time) {
	if i := s.newest.Load(); i != nil && !now.Before(i.until) {
		s.newest.CompareAndSwap(i, nil)
	}
}

// Merge extends the backoff to that of another state.
func (s *State) Merge(o *State) {
	if i := o.newest.Load(); i != nil {
		s.Extend(i.until)
	}
}

// Delay returns how long no request may be sent: until the end of the backoff, or while the
// first request after it may still be rejected. It returns 0 if a request may be sent now.
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

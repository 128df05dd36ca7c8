package limit

import (
	"sync"
	"time"
)

// rateWindow is the window over which RetrySchedule counts borrowed slots.
const rateWindow = time.Second

// RetrySchedule distributes the retries of callers that were refused because of a rate limit
// of their upstreams: each caller gets the delay to a time slot of its own. The schedule counts
// on the slots of this host, and on borrowed slots at the rate at which other hosts lent them
// recently. The zero value is ready to use and safe for concurrent use.
type RetrySchedule struct {
	mu   sync.Mutex
	next time.Time // the first slot that was assigned to no caller

	began              time.Time // start of the current window
	borrowed, previous float64   // slots borrowed in the current and in the previous window
}

// RecordBorrowed counts a slot that another host has lent.
func (s *RetrySchedule) RecordBorrowed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.borrowed++
}

// advance starts a new window if the current one is over.
func (s *RetrySchedule) advance(now time.Time) {
	switch over := now.Sub(s.began); {
	case over >= 2*rateWindow:
		s.began, s.borrowed, s.previous = now, 0, 0
	case over >= rateWindow:
		s.began, s.borrowed, s.previous = s.began.Add(rateWindow), 0, s.borrowed
	}
}

// borrowRate returns the number of slots borrowed a second, over the last window.
func (s *RetrySchedule) borrowRate(now time.Time) float64 {
	s.advance(now)
	elapsed := float64(now.Sub(s.began)) / float64(rateWindow)
	return (s.borrowed + s.previous*(1-elapsed)) / rateWindow.Seconds()
}

// Next returns the retry delay for the next caller: the time to the first slot that was
// assigned to no other caller, but at most RetryAfterMax. First is the time to the first free
// slot of this host, and own is the number of slots that it has a second, which must be
// positive.
func (s *RetrySchedule) Next(now time.Time, first time.Duration, own float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(first)
	if s.next.After(at) {
		at = s.next
	}
	at = now.Add(min(at.Sub(now), RetryAfterMax))
	interval := min(1/(own+s.borrowRate(now)), RetryAfterMax.Seconds())
	s.next = at.Add(time.Duration(interval * float64(time.Second)))
	return at.Sub(now)
}

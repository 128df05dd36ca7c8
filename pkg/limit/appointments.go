package limit

import (
	"sync"
	"time"
)

// rateWindow is the time over which RetrySchedule counts borrowed turns.
const rateWindow = time.Second

// RetrySchedule spreads callers that were refused because their upstreams take so many
// requests a second: each is told to come back for a turn of its own. There are the turns that
// this host has, and those that others lend it as often as they did lately. The zero value is
// ready to use and safe for concurrent use.
type RetrySchedule struct {
	mu   sync.Mutex
	next time.Time // when the first turn comes that nobody was told

	began          time.Time // of the window that counts now
	borrowed, last float64   // turns in it, and in the one before
}

// RecordBorrowed counts a turn that another host has lent.
func (a *RetrySchedule) RecordBorrowed(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step(now)
	a.borrowed++
}

// step begins the windows anew that are over.
func (a *RetrySchedule) step(now time.Time) {
	switch over := now.Sub(a.began); {
	case over >= 2*rateWindow:
		a.began, a.borrowed, a.last = now, 0, 0
	case over >= rateWindow:
		a.began, a.borrowed, a.last = a.began.Add(rateWindow), 0, a.borrowed
	}
}

// perSecond is how many turns were borrowed a second, over the last window.
func (a *RetrySchedule) perSecond(now time.Time) float64 {
	a.step(now)
	part := float64(now.Sub(a.began)) / float64(rateWindow)
	return (a.borrowed + a.last*(1-part)) / rateWindow.Seconds()
}

// Next returns when the next caller should come back: for the first turn that nobody else
// was told, RetryAfterMax at the most. The first turn that is free is after a time, and the
// host has so many of its own a second, more than 0.
func (a *RetrySchedule) Next(now time.Time, first time.Duration, own float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now.Add(first)
	if a.next.After(at) {
		at = a.next
	}
	at = now.Add(min(at.Sub(now), RetryAfterMax))
	apart := min(1/(own+a.perSecond(now)), RetryAfterMax.Seconds())
	a.next = at.Add(time.Duration(apart * float64(time.Second)))
	return at.Sub(now)
}

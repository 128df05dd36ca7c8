package returning

import (
	"sync"
	"time"
)

// Rate bounds events to a number in each second, counted from the first event of that second.
// It is safe for concurrent use.
type Rate struct {
	perSecond int

	mu      sync.Mutex
	start   time.Time
	count   int
	dropped int64
}

// NewRate returns a Rate that allows perSecond events.
func NewRate(perSecond int) *Rate { return &Rate{perSecond: perSecond} }

// Allow reports whether an event is allowed now, and counts it as dropped if it is not.
func (r *Rate) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.start) >= time.Second {
		r.start, r.count = now, 0
	}
	if r.count >= r.perSecond {
		r.dropped++
		return false
	}
	r.count++
	return true
}

// Dropped returns the number of events that were not allowed.
func (r *Rate) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

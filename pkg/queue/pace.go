package queue

import (
	"sync/atomic"
	"time"
)

// Pace is how fast waiting requests are served.
type Pace struct {
	// Service is the mean time of one request at an upstream.
	Service time.Duration
	// Parallel is the number of requests in flight at the same time.
	Parallel int
}

// wait estimates how long it takes until ahead entries and one more have been
// started: by Little's law one request ends every Service/Parallel.
func (p Pace) wait(ahead int) time.Duration {
	return p.Service * time.Duration(ahead+1) / time.Duration(max(p.Parallel, 1))
}

// serviceWeight is the share of a new sample in the mean, as a divisor.
const serviceWeight = 16

// ServiceTime is a moving mean of the time that requests take at upstreams. It
// is safe for concurrent use; a sample that races with another may be lost.
// The zero value is ready to use.
type ServiceTime struct {
	mean atomic.Int64
}

// Observe records the time of one request.
func (s *ServiceTime) Observe(d time.Duration) {
	old := s.mean.Load()
	if old == 0 {
		s.mean.Store(int64(d))
		return
	}
	s.mean.Store(old + (int64(d)-old)/serviceWeight)
}

// Mean returns the moving mean, or 0 before the first sample.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean.Load()) }

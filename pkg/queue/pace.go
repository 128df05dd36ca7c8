package queue

import (
	"sync/atomic"
	"time"
)

// Pace is the rate at which queued requests are served.
type Pace struct {
	// Service is the mean service time of a request at an upstream.
	Service time.Duration
	// Parallel is the number of concurrent requests.
	Parallel int
}

// wait estimates the time until an entry with ahead entries before it is started: by
// Little's law, one request finishes every Service/Parallel.
func (p Pace) wait(ahead int) time.Duration {
	return p.Service * time.Duration(ahead+1) / time.Duration(max(p.Parallel, 1))
}

// meanDivisor is the inverse of the weight of a new sample in the mean.
const meanDivisor = 16

// ServiceTime is an exponential moving average of the service times at upstreams. It is safe
// for concurrent use; concurrent samples may be lost. The zero value is ready to use.
type ServiceTime struct {
	mean atomic.Int64
}

// Observe records the service time of one request.
func (s *ServiceTime) Observe(d time.Duration) {
	old := s.mean.Load()
	if old == 0 {
		s.mean.Store(int64(d))
		return
	}
	s.mean.Store(old + (int64(d)-old)/meanDivisor)
}

// Mean returns the moving average, or 0 before the first sample.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean.Load()) }

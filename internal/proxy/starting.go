package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

const (
	// startWindow is how long after its start a host lets requests wait for its first
	// configuration. Without one by then, something is wrong, and requests are refused at
	// once.
	startWindow = time.Second
	// maxStartWait is the longest wait of one request. When 473 hosts started at once, the
	// first configuration, with 1,200 routes, arrived after 35 ms at the first host and after
	// 410 ms at the median one. Known target latencies are 200 to 2,000 ms.
	maxStartWait = 250 * time.Millisecond
	// maxStartWaiters bounds the number of waiting requests.
	maxStartWaiters = 512
)

// maxInformWait is how long after the start requests wait until the host knows what its peers refuse.
// It is somewhat longer than a host asks its peers before it gives up.
const maxInformWait = 200 * time.Millisecond

// starting makes requests that arrive before the first configuration wait for it. The
// platform's load balancer sends callers to hosts that are not ready if few hosts are, and a
// refused caller tries other hosts that are not ready either.
type starting struct {
	until      time.Time
	once       sync.Once
	configured chan struct{}
	waiting    atomic.Int64

	// informed is set when the host knows what its peers refuse, or need not know.
	informed      atomic.Bool
	informedUntil time.Time // requests don't wait longer
	informedOnce  sync.Once
	informedCh    chan struct{}
}

// newStarting returns the state of a host that starts now. Unless queues is set, no request
// waits.
func newStarting(queues bool) *starting {
	s := &starting{configured: make(chan struct{}), informedCh: make(chan struct{})}
	if queues {
		s.until = clock.Now().Add(startWindow)
	}
	s.informed.Store(true)
	return s
}

// inform ends the wait of requests for what peers refuse.
func (s *starting) inform() {
	s.informedOnce.Do(func() {
		s.informed.Store(true)
		close(s.informedCh)
	})
}

// waitInformed returns when the host knows what its peers refuse, when ctx ends, or when the longest
// wait is over.
func (s *starting) waitInformed(ctx context.Context) {
	left := clock.Until(s.informedUntil)
	if left <= 0 {
		s.inform()
		return
	}
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	select {
	case <-s.informedCh:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// release ends the wait of all requests.
func (s *starting) release() { s.once.Do(func() { close(s.configured) }) }

// inStartWindow reports whether now is within startWindow of the start.
func (s *starting) inStartWindow(now time.Time) bool { return now.Before(s.until) }

// wait returns when there is a configuration, when ctx ends, or when the longest wait of a
// request is over.
func (s *starting) wait(ctx context.Context, now time.Time) {
	longest := min(s.until.Sub(now), maxStartWait)
	if longest <= 0 {
		return
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxStartWaiters {
		return
	}
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	select {
	case <-s.configured:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

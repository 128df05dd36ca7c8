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
	// configuration. One that has none by then has trouble, and says so at once.
	startWindow = time.Second
	// startHold is the longest wait of one request. Where 473 hosts started at once, the
	// first configuration, of 1,200 routes, was there after 35 ms for the first host and
	// 410 ms for the middle one; the targets known are 200 to 2,000 ms.
	maxStartWait = 250 * time.Millisecond
	// maxHeld bounds the requests that wait.
	maxStartWaiters = 512
)

// starting holds requests that come before the first configuration. The platform's
// balancer sends callers to hosts that are not ready where few are, and a caller that
// is refused tries others that are no further.
type starting struct {
	until      time.Time
	once       sync.Once
	configured chan struct{}
	waiting    atomic.Int64
}

// newStarting returns the state of a host that starts now, or of one that lets no
// request wait.
func newStarting(holds bool) *starting {
	s := &starting{configured: make(chan struct{})}
	if holds {
		s.until = clock.Now().Add(startWindow)
	}
	return s
}

// done ends the wait of all requests.
func (s *starting) release() { s.once.Do(func() { close(s.configured) }) }

// recent reports whether the host has started a moment ago.
func (s *starting) inStartWindow(now time.Time) bool { return now.Before(s.until) }

// wait returns when there is a configuration, or when the request has waited for as
// long as it may.
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

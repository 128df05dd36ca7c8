package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

const (
	// maxExhausted bounds the time in which requests are rejected locally after an answer that
	// left some ungranted: the quota may be raised in the meantime.
	maxExhausted = 100 * time.Millisecond
	// idleTimeout is the time without a request after which a customer's state can be dropped.
	idleTimeout = 2 * quota.Window
)

// customerState is this host's part of one customer's quota, and the requests that are
// waiting for quota. At most one request to the coordinator is in flight; requests that
// arrive in the meantime wait for the next one.
type customerState struct {
	mu         sync.Mutex
	allowance  quota.Allowance
	waiting    []*waiter
	requesting bool // requestLoop runs
	lastUsed   time.Time
	// exhaustedUntil is the time until which requests are rejected locally, according to the
	// last answer.
	exhaustedUntil time.Time
	// lastRetry is the retry time that the last rejected request was given.
	lastRetry time.Time
}

// waiter is a request that is waiting for quota.
type waiter struct {
	result    chan result // has a buffer of one
	cancelled bool
}

type result struct {
	wait time.Duration
	ok   bool
}

func (s *customerState) take(ctx context.Context, e *Enforcer, c *config.Customer) (time.Duration, bool) {
	now := e.now()
	s.mu.Lock()
	s.lastUsed = now
	if s.allowance.Take(now) {
		s.mu.Unlock()
		return 0, true
	}
	if now.Before(s.exhaustedUntil) {
		wait := s.retryDelay(now, c, 0)
		s.mu.Unlock()
		return wait, false
	}
	w := &waiter{result: make(chan result, 1)}
	s.waiting = append(s.waiting, w)
	if !s.requesting {
		s.requesting = true
		go s.requestLoop(e, c)
	}
	s.mu.Unlock()
	select {
	case r := <-w.result:
		return r.wait, r.ok
	case <-ctx.Done():
		s.cancel(e.now(), w)
		return 0, false
	}
}

// cancel marks a waiter as cancelled. Quota that was granted to it is returned now; quota
// that is granted later is returned by deliver.
func (s *customerState) cancel(now time.Time, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.cancelled = true
	select {
	case r := <-w.result:
		if r.ok {
			s.allowance.Return(now)
		}
	default:
	}
}

func (s *customerState) giveBack(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance.Return(now)
}

func (s *customerState) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.requesting && now.Sub(s.lastUsed) > idleTimeout
}

// requestLoop requests quota until no request is waiting.
func (s *customerState) requestLoop(e *Enforcer, c *config.Customer) {
	for {
		req, waiting := s.nextRequest(e.now(), c)
		if len(waiting) == 0 {
			return
		}
		answer, answered := e.request(&req)
		s.deliver(e, c, waiting, answer, answered)
	}
}

// nextRequest returns the next request for quota and the waiters that it is for. It returns
// no waiters if none are left; the next call of take then starts a new loop.
func (s *customerState) nextRequest(now time.Time, c *config.Customer) (quota.Request, []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.waiting
	s.waiting = nil
	if len(waiting) == 0 {
		s.requesting = false
		return quota.Request{}, nil
	}
	return quota.Request{
		Customer: c.Name,
		Limit:    limitOf(c),
		Required: len(waiting),
		Prefetch: s.allowance.ExpectedDemand(now),
		Used:     s.allowance.Used(now),
	}, waiting
}

// deliver hands the results to the waiters. If no host answered, this host's own share of
// the quota is used.
func (s *customerState) deliver(e *Enforcer, c *config.Customer, waiting []*waiter, a quota.Answer, answered bool) {
	now := e.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := min(a.Granted, len(waiting))
	s.allowance.AddGrant(now, sent, a.Granted-sent)
	if a.Wait > 0 {
		s.exhaustedUntil = now.Add(min(a.Wait, maxExhausted))
	}
	hosts := e.fleet.Load().Known
	for i, w := range waiting {
		ok := i < sent || !answered && s.allowance.TakeFallback(now, limitOf(c), hosts)
		switch {
		case ok && w.cancelled:
			s.allowance.Return(now)
		case ok:
			w.result <- result{ok: true}
		default:
			w.result <- result{wait: s.retryDelay(now, c, a.Wait)}
		}
	}
}

// maxRetryDelay bounds the delay that a rejected request is given: an estimate further ahead
// is unreliable.
const maxRetryDelay = 30 * time.Second

// retryDelay returns the delay after which a rejected request may be retried, at least
// minDelay. Retries of the requests that this host rejects are spaced at the customer's
// rate.
func (s *customerState) retryDelay(now time.Time, c *config.Customer, minDelay time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / c.RatePerSecond)
	next := now.Add(max(minDelay, interval))
	if after := s.lastRetry.Add(interval); after.After(next) {
		next = after
	}
	if latest := now.Add(maxRetryDelay); next.After(latest) {
		next = latest
	}
	s.lastRetry = next
	return next.Sub(now)
}

package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

const (
	// dryAtMost bounds the time in which requests are refused without a question, after one
	// that was answered with nothing: the quota may be raised meanwhile.
	dryAtMost = 100 * time.Millisecond
	// forgetHolder is the time without a request after which nothing of a holder matters.
	forgetHolder = 2 * quota.Window
)

// holder is this host's part of one customer's quota, and the requests that wait for room.
// One question is open at a time; requests that come meanwhile wait for the next.
type holder struct {
	mu      sync.Mutex
	wallet  quota.Allowance
	waiting []*waiter
	asking  bool
	touched time.Time
	// dry is until when there is no room, as the last answer said.
	dry time.Time
	// promised is when the last request that was refused may come back.
	promised time.Time
}

// waiter is a request that waits for room.
type waiter struct {
	verdict chan verdict // has room for one
	left    bool
}

type verdict struct {
	wait time.Duration
	ok   bool
}

func (h *holder) take(ctx context.Context, k *Enforcer, c *config.Customer) (time.Duration, bool) {
	now := k.now()
	h.mu.Lock()
	h.touched = now
	if h.wallet.Take(now) {
		h.mu.Unlock()
		return 0, true
	}
	if now.Before(h.dry) {
		wait := h.wait(now, c, 0)
		h.mu.Unlock()
		return wait, false
	}
	w := &waiter{verdict: make(chan verdict, 1)}
	h.waiting = append(h.waiting, w)
	if !h.asking {
		h.asking = true
		go h.ask(k, c)
	}
	h.mu.Unlock()
	select {
	case v := <-w.verdict:
		return v.wait, v.ok
	case <-ctx.Done():
		h.leave(k.now(), w)
		return 0, false
	}
}

// leave gives back the room of a request that has gone, now or when it is granted.
func (h *holder) leave(now time.Time, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.left = true
	select {
	case v := <-w.verdict:
		if v.ok {
			h.wallet.Return(now)
		}
	default:
	}
}

func (h *holder) giveBack(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallet.Return(now)
}

func (h *holder) idle(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.asking && now.Sub(h.touched) > forgetHolder
}

// ask asks for room until no request waits.
func (h *holder) ask(k *Enforcer, c *config.Customer) {
	for {
		question, waiting := h.question(k.now(), c)
		if len(waiting) == 0 {
			return
		}
		answer, answered := k.room(&question)
		h.answered(k, c, waiting, answer, answered)
	}
}

// question returns what to ask for, and for whom; nobody if none waits, and then the next
// request begins anew.
func (h *holder) question(now time.Time, c *config.Customer) (quota.Request, []*waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := h.waiting
	h.waiting = nil
	if len(waiting) == 0 {
		h.asking = false
		return quota.Request{}, nil
	}
	return quota.Request{
		Customer: c.Name,
		Limit:    limitOf(c),
		Required: len(waiting),
		Prefetch: h.wallet.ExpectedDemand(now),
		Used:     h.wallet.Used(now),
	}, waiting
}

// answered tells the requests that waited. Where nobody answered, this host's own part is
// used.
func (h *holder) answered(k *Enforcer, c *config.Customer, waiting []*waiter, a quota.Answer, answered bool) {
	now := k.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := min(a.Granted, len(waiting))
	h.wallet.AddGrant(now, sent, a.Granted-sent)
	if a.Wait > 0 {
		h.dry = now.Add(min(a.Wait, dryAtMost))
	}
	known := k.fleet.Load().Known
	for i, w := range waiting {
		ok := i < sent || !answered && h.wallet.TakeFallback(now, limitOf(c), known)
		switch {
		case ok && w.left:
			h.wallet.Return(now)
		case ok:
			w.verdict <- verdict{ok: true}
		default:
			w.verdict <- verdict{wait: h.wait(now, c, a.Wait)}
		}
	}
}

// maxWait bounds the time to come back: what is told for later does not hold.
const maxWait = 30 * time.Second

// wait is when a request that is refused may come back: after the others that were refused
// here, at the customer's pace.
func (h *holder) wait(now time.Time, c *config.Customer, least time.Duration) time.Duration {
	pause := time.Duration(float64(time.Second) / c.RatePerSecond)
	next := now.Add(max(least, pause))
	if after := h.promised.Add(pause); after.After(next) {
		next = after
	}
	if most := now.Add(maxWait); next.After(most) {
		next = most
	}
	h.promised = next
	return next.Sub(now)
}

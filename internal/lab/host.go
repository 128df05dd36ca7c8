package lab

import (
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Request is one request of a caller.
type Request struct {
	// Arrived is when it reached the entry host.
	Arrived time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Attempts counts the sends.
	Attempts int
	// Tried lists the upstreams of earlier sends.
	Tried []*balancer.Upstream

	size     float64 // factor on the service time
	sending  int     // sends without an end
	cancels  []func()
	finished bool
}

// Host is the decision maker of one simulated entry host. Limits, retries and
// hedging are plugged in by another implementation; see Run.NewHost.
type Host interface {
	// Arrive takes a request. Every request ends in one call to Env.Finish.
	Arrive(*Request)
}

// Env is what a Host may use.
type Env interface {
	// Clock is the virtual time.
	Clock() *Clock
	// Random is the host's own source.
	Random() *rand.Rand
	// Picker is the picker in force.
	Picker() balancer.Picker
	// Send sends the request to u. Done is called with the end of the send,
	// after the picker learned of it. The returned function cancels the send at
	// the upstream, which still ends in done.
	Send(r *Request, u *balancer.Upstream, done func(balancer.Feedback)) (cancel func())
	// Finish ends a request. Only the first call counts; ok is false if it was
	// given up.
	Finish(r *Request, ok bool)
}

const (
	// maxWaiting bounds the local queue.
	maxWaiting = 64
	// maxAttempts bounds the sends of one request.
	maxAttempts = 2
)

// basicHost queues while no slot is believed free, drops a request that has
// less time left than the policy expects an answer to take, and sends a request
// that was refused or failed once more.
type basicHost struct {
	env     Env
	waiting []*Request
	timer   bool
	sent    func(*Request, time.Duration) // told of each send; may be nil
}

// NewBasicHost returns the default Host.
func NewBasicHost(env Env) Host { return &basicHost{env: env} }

// Arrive implements Host.
func (h *basicHost) Arrive(r *Request) {
	if len(h.waiting) >= maxWaiting {
		h.env.Finish(r, false)
		return
	}
	h.waiting = append(h.waiting, r)
	h.drain()
}

// drain sends waiting requests in order until no slot is free.
func (h *basicHost) drain() {
	for len(h.waiting) > 0 {
		r := h.waiting[0]
		if !h.offer(r) {
			return
		}
		h.waiting = h.waiting[1:]
	}
}

// offer sends or ends a request; false means that it must wait.
func (h *basicHost) offer(r *Request) bool {
	now := h.env.Clock().Now()
	if now.After(r.Deadline) {
		h.env.Finish(r, false)
		return true
	}
	res, err := h.env.Picker().Pick(balancer.PickInfo{
		Now:     now,
		Random:  h.env.Random().Uint64(),
		Exclude: r.Tried,
		Waited:  now.Sub(r.Arrived),
	})
	switch err {
	case nil:
		if r.Deadline.Sub(now) < res.OverdueAfter {
			h.env.Finish(r, false) // the answer would likely be too late
			return true
		}
		h.send(r, res)
		return true
	case balancer.ErrNoSlot:
		h.wake(res.RetryAfter)
		return false
	default:
		h.env.Finish(r, false)
		return true
	}
}

func (h *basicHost) wake(after time.Duration) {
	if h.timer {
		return
	}
	h.timer = true
	h.env.Clock().After(after, func() {
		h.timer = false
		h.drain()
	})
}

func (h *basicHost) send(r *Request, res balancer.Result) {
	r.Tried = append(r.Tried, res.Upstream)
	r.sending++
	cancel := h.env.Send(r, res.Upstream, func(f balancer.Feedback) {
		r.sending--
		h.ended(r, f)
		h.drain()
	})
	r.cancels = append(r.cancels, cancel)
	if h.sent != nil {
		h.sent(r, res.OverdueAfter)
	}
}

// ended finishes a request, or puts it first in the queue for another attempt.
func (h *basicHost) ended(r *Request, f balancer.Feedback) {
	switch {
	case f.Outcome == balancer.Answered:
		h.env.Finish(r, !f.Now.After(r.Deadline))
		r.cancelOthers()
	case r.finished || r.sending > 0:
	case r.Attempts < maxAttempts:
		h.waiting = append([]*Request{r}, h.waiting...)
	default:
		h.env.Finish(r, false)
	}
}

// cancelOthers cancels the sends that are still in flight.
func (r *Request) cancelOthers() {
	if r.sending == 0 {
		return
	}
	for _, cancel := range r.cancels {
		cancel()
	}
}

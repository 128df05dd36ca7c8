package lab

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// errLimit means that the limit is reached, or that others wait.
var errLimit = errors.New("limit reached")

// hedging is when a host sends a second attempt.
type hedging struct {
	// overdue goes by the policy's opinion.
	overdue bool
	// fixed is a delay of its own.
	fixed time.Duration
}

// delay is the time to wait for an answer, or 0 for no second attempt.
func (g hedging) delay(res balancer.Result) time.Duration {
	if g.overdue {
		return res.OverdueAfter
	}
	return g.fixed
}

// NewHedgingHost returns a Host that hedges when the policy calls an answer
// overdue, as the product does for repeatable requests.
func NewHedgingHost(env Env) Host { return newPartsHost(env, hedging{overdue: true}) }

// fixedHedge is the delay, in mean service times, of a host that hedges
// without a policy's opinion. No real host knows the mean this well.
const fixedHedge = 3

// NewFixedHedgingHost returns a Host that hedges after a fixed delay.
func NewFixedHedgingHost(env Env) Host {
	return newPartsHost(env, hedging{fixed: fixedHedge * env.(*hostEnv).world.run.Workload.Mean})
}

// watch starts the timer of a first send.
func (h *partsHost) watch(r *Request, res balancer.Result) {
	delay := h.hedge.delay(res)
	if delay <= 0 {
		return
	}
	h.env.Clock().After(delay, func() { h.second(r) })
}

// second sends a second attempt within every bound of the product.
func (h *partsHost) second(r *Request) {
	if r.finished || r.sending == 0 {
		return
	}
	if retry.Decide(h.attempt(r, errkind.None), h.budget) != retry.Allowed {
		return
	}
	res, err := h.tryHedge(r)
	if err != nil {
		h.budget.Refund()
		return
	}
	h.send(r, res)
}

// tryHedge picks if a place is free within the headroom of the limit.
func (h *partsHost) tryHedge(r *Request) (balancer.Result, error) {
	if !h.limiter.Acquire(limit.Headroom) {
		return balancer.Result{}, errLimit
	}
	return h.pick(r, 0)
}

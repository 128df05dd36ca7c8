package lab

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// errLimitReached means that the concurrency limit is reached or that other
// requests are queued already.
var errLimitReached = errors.New("concurrency limit reached")

// hedgePolicy determines when a host sends a hedge.
type hedgePolicy struct {
	// useOverdueAfter takes the delay from balancer.Result.OverdueAfter.
	useOverdueAfter bool
	// fixedDelay is the delay if useOverdueAfter is not set.
	fixedDelay time.Duration
}

// delay returns the time to wait for a response before hedging, or 0 for no hedge.
func (p hedgePolicy) delay(res balancer.Result) time.Duration {
	if p.useOverdueAfter {
		return res.OverdueAfter
	}
	return p.fixedDelay
}

// NewHedgingHost returns a Host that hedges when the balancer policy considers a
// response overdue, as the proxy does for repeatable requests.
func NewHedgingHost(env Env) Host { return newProxyHost(env, hedgePolicy{useOverdueAfter: true}) }

// fixedHedgeFactor is the delay of a host that hedges after a fixed time, in mean
// service times. A real host does not know the mean service time this precisely.
const fixedHedgeFactor = 3

// NewFixedHedgingHost returns a Host that hedges after a fixed multiple of the
// mean service time.
func NewFixedHedgingHost(env Env) Host {
	return newProxyHost(env, hedgePolicy{fixedDelay: fixedHedgeFactor * env.(*hostEnv).sim.run.Workload.MeanServiceTime})
}

// scheduleHedge starts the hedge timer for a first attempt.
func (h *proxyHost) scheduleHedge(r *Request, res balancer.Result) {
	delay := h.hedging.delay(res)
	if delay <= 0 {
		return
	}
	h.env.Clock().After(delay, func() { h.sendHedge(r) })
}

// sendHedge sends a hedge if the retry rules, the retry budget and the concurrency
// limit allow it, as in the proxy.
func (h *proxyHost) sendHedge(r *Request) {
	if r.finished || r.inFlight == 0 {
		return
	}
	if retry.Decide(h.retryAttempt(r, errkind.None), h.budget) != retry.Allowed {
		return
	}
	res, err := h.pickForHedge(r)
	if err != nil {
		h.budget.Refund(0) // the budget has no window
		return
	}
	h.send(r, res)
}

// pickForHedge picks an upstream if the concurrency limit plus its headroom is not
// reached.
func (h *proxyHost) pickForHedge(r *Request) (balancer.Result, error) {
	if !h.limiter.Acquire(limit.Headroom) {
		return balancer.Result{}, errLimitReached
	}
	return h.pick(r, 0)
}

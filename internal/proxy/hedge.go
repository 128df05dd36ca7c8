package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// percent is the whole of a percentile.
const percent = 100

// hedgeDelay returns how long to wait for the answer to b before a second send,
// or 0 for no hedging. Where the rule sets no delay, it is the policy's word on
// when the answer is overdue. A percentile without enough samples hedges only
// after a fixed delay, if the rule sets one.
func (x *exchange) hedgeDelay(b binding) time.Duration {
	rule := x.rule.Config.Retry
	if !x.repeatable() || x.isRetry || x.sent >= rule.MaxAttempts {
		return 0
	}
	if rule.Hedge == config.HedgeOff {
		return 0
	}
	delay := rule.HedgeAfter.Std()
	if delay == 0 && rule.HedgePercentile == 0 {
		return b.overdue
	}
	if rule.HedgePercentile > 0 {
		delay = max(delay, x.state.latency.Quantile(rule.HedgePercentile/percent))
	}
	return delay
}

// sendHedged sends b and, if no answer comes in time and every bound allows
// it, a second time to another upstream. The first answer wins and the other
// send is cancelled.
func (x *exchange) sendHedged(ctx context.Context, b binding) result {
	delay := x.hedgeDelay(b)
	if delay == 0 {
		return x.record(x.send(ctx, b))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	go func() { results <- x.send(ctx, b) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return x.record(r)
	case <-timer.C:
	}
	second, ok := x.bindHedge(delay)
	if !ok {
		return x.record(<-results)
	}
	go func() { results <- x.send(ctx, second) }()
	return x.fasterOf(b, second, results)
}

// bindHedge binds a second send without waiting for a slot.
func (x *exchange) bindHedge(delay time.Duration) (binding, bool) {
	reason := retry.Decide(x.attemptState(errkind.None), x.state.budget)
	if reason != retry.Allowed {
		x.hedgeDenied(reason, delay)
		return binding{}, false
	}
	b, err := x.tryBind(x.sent + 1)
	if err != nil {
		x.state.budget.Refund()
		x.hedgeDenied(retry.DeniedNoOther, delay)
		return binding{}, false
	}
	x.count()
	x.emit(event.Event{Code: event.HedgeSent, Upstream: b.upstream.ID, Attempt: b.number, Value: delay.Microseconds()})
	return b, true
}

func (x *exchange) hedgeDenied(reason retry.Reason, delay time.Duration) {
	x.emit(event.Event{Code: event.HedgeDenied, Attempt: x.sent + 1, Reason: string(reason), Value: delay.Microseconds()})
}

// fasterOf returns the first answer, or the second failure.
func (x *exchange) fasterOf(first, second binding, results <-chan result) result {
	r := x.record(<-results)
	if r.err != nil {
		return x.record(<-results)
	}
	loser := second
	if r.binding == second {
		loser = first
		x.emit(event.Event{Code: event.HedgeWon, Upstream: second.upstream.ID, Attempt: second.number})
	}
	x.emit(event.Event{Code: event.HedgeCancelled, Upstream: loser.upstream.ID, Attempt: loser.number})
	return r
}

// record keeps what a failed send means for the request.
func (x *exchange) record(r result) result {
	if r.err != nil {
		x.failed(r)
	}
	return r
}

// tryBind binds send number n if a place in the limit and a slot are free now.
func (x *exchange) tryBind(n int) (binding, error) {
	g := x.state.group
	if !g.acquire(priorityOf(x.rule.Config)) {
		return binding{}, errLimit
	}
	b, err := x.pick(n, 0)
	if err != nil {
		g.limiter.Release(limit.Sample{Outcome: limit.Ignored})
	}
	return b, err
}

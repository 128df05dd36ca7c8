package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// percent converts between percentages and fractions.
const percent = 100

// hedgeDelay returns how long to wait for the response to b before a hedge, or 0 for no
// hedging. If the rule sets no delay, it is the time after which the policy considers the
// response overdue. While a percentile has too few samples, only the rule's fixed delay
// applies, if it sets one.
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

// errOtherResponse is the cause of the end of an attempt beside which another got a response.
var errOtherResponse = errors.New("another attempt got a response")

// hedge coordinates the first attempt of a request with its hedge, the second one. The
// goroutine that serves the request makes the first attempt itself; a timer starts the
// second, so that a request with a timely response needs no extra goroutine.
type hedge struct {
	x      *exchange
	delay  time.Duration
	ctx    context.Context
	cancel context.CancelCauseFunc // ends both attempts

	// mu orders the start of the second attempt against the end of the first. While it
	// holds mu, the timer's goroutine owns the exchange.
	mu      sync.Mutex
	timer   *time.Timer
	noRoom  bool // no permit or slot was free for the second attempt; it is tried again
	ended   bool // the first attempt has ended
	won     bool // the second attempt got a response before the first ended
	second  binding
	results chan result // nil without a second attempt
}

// sendHedged sends b and, if no response arrives in time and every limit allows it, a hedge
// to another upstream. The first response wins and the other attempt is cancelled.
func (x *exchange) sendHedged(ctx context.Context, b binding) result {
	delay := x.hedgeDelay(b)
	if delay == 0 {
		return x.recordIfFailed(x.send(ctx, b))
	}
	h := &hedge{x: x, delay: delay}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	defer h.cancel(errOtherResponse)
	h.arm(delay)
	defer h.timer.Stop()
	return h.resolve(x.send(h.ctx, b))
}

func (h *hedge) arm(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(delay, h.run)
}

// run makes the second attempt on the timer's goroutine.
func (h *hedge) run() {
	if !h.start() {
		return
	}
	r := h.x.send(h.ctx, h.second)
	h.mu.Lock()
	h.won = r.err == nil && !h.ended
	won := h.won
	h.mu.Unlock()
	h.results <- r
	if won {
		h.cancel(errOtherResponse)
	}
}

// start binds the second attempt, unless the first has ended. If no permit or slot is
// free now, it rearms the timer: stuck requests may hold them.
func (h *hedge) start() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	second, err := h.x.bindHedge(h.ctx, h.delay, h.noRoom)
	if errors.Is(err, errLimitReached) || errors.Is(err, balancer.ErrNoSlot) {
		h.noRoom = true
		h.timer.Reset(h.x.recheckDelay())
	}
	if err != nil {
		return false
	}
	h.second = second
	h.results = make(chan result, 1)
	return true
}

// resolve returns the first response, or the second failure. First is the result of the
// first attempt, which is its cancellation if the second has won.
func (h *hedge) resolve(first result) result {
	h.mu.Lock()
	h.ended = true
	won, second, results := h.won, h.second, h.results
	h.mu.Unlock()
	x := h.x
	switch {
	case won:
		x.emit(event.Event{Code: event.HedgeWon, Upstream: second.upstream.ID, Attempt: second.number})
		x.emit(event.Event{Code: event.HedgeCancelled, Upstream: first.binding.upstream.ID, Attempt: first.binding.number})
		return <-results
	case results == nil:
		return x.recordIfFailed(first)
	case first.err != nil:
		x.recordIfFailed(first)
		return x.recordIfFailed(<-results)
	}
	select {
	case r := <-results: // it has already failed
		x.recordIfFailed(r)
	default:
		x.emit(event.Event{Code: event.HedgeCancelled, Upstream: second.upstream.ID, Attempt: second.number})
	}
	return first
}

// errHedgeDenied means that a limit on extra attempts denied the hedge.
var errHedgeDenied = errors.New("hedge denied")

// bindHedge binds a second attempt without waiting for a slot. Retried is set if an earlier
// try found no permit or slot; the event is then not repeated.
func (x *exchange) bindHedge(ctx context.Context, delay time.Duration, retried bool) (binding, error) {
	interval := x.state.budget.Interval()
	reason := x.decideHedge()
	if reason != retry.Allowed {
		x.hedgeDenied(reason, delay)
		return binding{}, errHedgeDenied
	}
	b, err := x.tryHedge(ctx, x.sent+1)
	if err != nil {
		x.state.budget.Refund(interval)
		if !retried {
			x.hedgeDenied(retry.DeniedNoOtherUpstream, delay)
		}
		return binding{}, err
	}
	x.countAttempt()
	x.emit(event.Event{Code: event.HedgeSent, Upstream: b.upstream.ID, Attempt: b.number, Value: delay.Microseconds()})
	return b, nil
}

func (x *exchange) hedgeDenied(reason retry.Reason, delay time.Duration) {
	x.emit(event.Event{Code: event.HedgeDenied, Attempt: x.sent + 1, Reason: string(reason), Value: delay.Microseconds()})
}

// recordIfFailed records the failure of r, if any, and returns r.
func (x *exchange) recordIfFailed(r result) result {
	if r.err != nil {
		x.recordFailure(r)
	}
	return r
}

// tryHedge binds attempt number n as a hedge. Its request already holds a permit, and a
// stuck upstream holds many, so a hedge may exceed the limit as far as the high priority
// does, and bypasses the queue.
func (x *exchange) tryHedge(ctx context.Context, n int) (binding, error) {
	g := x.state.group
	if !g.limiter.Acquire(limit.Headroom) {
		return binding{}, errLimitReached
	}
	return x.pickOrRelease(ctx, n, true)
}

// tryBind binds attempt number n if a permit and a slot are free now.
func (x *exchange) tryBind(ctx context.Context, n int) (binding, error) {
	g := x.state.group
	if !g.acquire(priorityOf(x.priority())) {
		return binding{}, errLimitReached
	}
	return x.pickOrRelease(ctx, n, false)
}

// pickOrRelease picks an upstream while holding a permit, and releases the permit if it
// fails.
func (x *exchange) pickOrRelease(ctx context.Context, n int, isHedge bool) (binding, error) {
	b, err := x.pick(ctx, n, 0, isHedge)
	if err != nil {
		x.state.group.limiter.Release(limit.Sample{Outcome: limit.Ignored})
	}
	return b, err
}

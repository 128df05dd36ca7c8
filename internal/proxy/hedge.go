package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
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

// hedge is the second send of one request, if there is one. The goroutine that
// serves the request makes the first send itself; a timer starts the second, so
// that a request which is answered in time costs no goroutine.
type hedge struct {
	x      *exchange
	delay  time.Duration
	ctx    context.Context
	cancel context.CancelFunc // ends both sends

	// mu orders the start of the second send against the end of the first. The
	// exchange belongs to the timer's goroutine while it holds mu.
	mu      sync.Mutex
	timer   *time.Timer
	noRoom  bool // the second send found no room, and tries again
	ended   bool // the first send has ended
	won     bool // the second was answered before
	second  binding
	results chan result // nil without a second send
}

// sendHedged sends b and, if no answer comes in time and every bound allows
// it, a second time to another upstream. The first answer wins and the other
// send is cancelled.
func (x *exchange) sendHedged(ctx context.Context, b binding) result {
	delay := x.hedgeDelay(b)
	if delay == 0 {
		return x.recordIfFailed(x.send(ctx, b))
	}
	h := &hedge{x: x, delay: delay}
	h.ctx, h.cancel = context.WithCancel(ctx)
	defer h.cancel()
	h.arm(delay)
	defer h.timer.Stop()
	return h.resolve(x.send(h.ctx, b))
}

func (h *hedge) arm(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(delay, h.run)
}

// run makes the second send on the timer's goroutine.
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
		h.cancel()
	}
}

// start binds the second send, unless the first has ended. Where the limit or
// the upstreams have no room now, it tries again: other requests that are stuck
// may hold it.
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

// settle returns the first answer, or the second failure. First is the end of
// the first send, which is its cancellation when the second has won.
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
	case r := <-results: // it has failed already
		x.recordIfFailed(r)
	default:
		x.emit(event.Event{Code: event.HedgeCancelled, Upstream: second.upstream.ID, Attempt: second.number})
	}
	return first
}

// errHedgeDenied means that a bound on extra sends denied the second send.
var errHedgeDenied = errors.New("hedge denied")

// bindHedge binds a second send without waiting for a slot. Again is true when
// it found no room before; the event about that is not repeated.
func (x *exchange) bindHedge(ctx context.Context, delay time.Duration, again bool) (binding, error) {
	reason := retry.Decide(x.attemptState(errkind.None), x.state.budget)
	if reason != retry.Allowed {
		x.hedgeDenied(reason, delay)
		return binding{}, errHedgeDenied
	}
	b, err := x.tryHedge(ctx, x.sent+1)
	if err != nil {
		x.state.budget.Refund()
		if !again {
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

// record keeps what a failed send means for the request.
func (x *exchange) recordIfFailed(r result) result {
	if r.err != nil {
		x.recordFailure(r)
	}
	return r
}

// tryHedge binds send number n as a hedge. Its request holds a place in the
// limit already, and an upstream that is stuck holds many: so a hedge may go
// beyond the limit as far as the high priority, and past those who wait.
func (x *exchange) tryHedge(ctx context.Context, n int) (binding, error) {
	g := x.state.group
	if !g.limiter.Acquire(limit.Headroom) {
		return binding{}, errLimitReached
	}
	return x.pickOrRelease(ctx, n, true)
}

// tryBind binds send number n if a place in the limit and a slot are free now.
func (x *exchange) tryBind(ctx context.Context, n int) (binding, error) {
	g := x.state.group
	if !g.acquire(priorityOf(x.priority())) {
		return binding{}, errLimitReached
	}
	return x.pickOrRelease(ctx, n, false)
}

// pickHeld picks with a place in the limit held, or gives it back.
func (x *exchange) pickOrRelease(ctx context.Context, n int, extra bool) (binding, error) {
	b, err := x.pick(ctx, n, 0, extra)
	if err != nil {
		x.state.group.limiter.Release(limit.Sample{Outcome: limit.Ignored})
	}
	return b, err
}

package proxy

import (
	"cmp"
	"context"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// nonRepeatableAttempts is the default maximum of attempts of a non-repeatable
// request. Every attempt but the last is known not to have run.
const nonRepeatableAttempts = config.DefaultMaxAttempts

// medianQuantile is the quantile taken as the expected latency of an attempt.
const medianQuantile = 0.5

// run sends the request until an upstream responds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) *httpwire.Response {
	defer x.closeQuestion()
	for {
		b, err := x.bind(ctx)
		if err != nil {
			x.refundRetry()
			if x.failure != nil {
				return x.returnResponse(*x.failure)
			}
			return x.refuse(x.finalError(err))
		}
		x.countAttempt()
		r := x.sendHedged(ctx, b)
		if r.err == nil {
			return x.returnResponse(r)
		}
		x.keepFailure(r)
		if !x.shouldRetry(ctx, r) {
			if x.failure != nil {
				return x.returnResponse(*x.failure)
			}
			return x.refuse(x.finalError(r.err))
		}
	}
}

// keepFailure stores an upstream's complete failure response. It is returned to the
// caller if no other attempt gets a response.
func (x *exchange) keepFailure(r result) {
	if r.failure != nil {
		x.failure = &result{binding: r.binding, resp: r.failure}
	}
}

// countAttempt counts an attempt. The first one of a request adds to the budget.
func (x *exchange) countAttempt() {
	x.sent++
	if x.sent == 1 {
		x.state.budget.RecordFirst()
	}
}

// refundRetry refunds the budget token of a retry that found no upstream or no slot. One that
// another host has lent expires.
func (x *exchange) refundRetry() {
	if x.sent > 0 {
		if !x.retryBorrowed {
			x.state.budget.Refund(x.retryInterval)
		}
		x.emit(event.Event{Code: event.RetryDenied, Attempt: x.sent, Reason: string(retry.DeniedNoOtherUpstream), Value: x.state.budget.Remaining()})
	}
}

// shouldRetry decides whether the request is sent again after r failed.
func (x *exchange) shouldRetry(ctx context.Context, r result) bool {
	x.retryInterval = x.state.budget.Interval()
	reason := x.decideRetry(ctx, r.err.Kind)
	x.retryBorrowed = reason == retry.DeniedBudget && x.borrowRetry(ctx)
	if x.retryBorrowed {
		reason = retry.Allowed
	}
	code := event.RetryDenied
	text := string(reason)
	if reason == retry.Allowed {
		code = event.RetrySent
		text = r.err.Kind.String()
	}
	x.emit(event.Event{Code: code, Attempt: x.sent, Reason: text, Value: x.state.budget.Remaining()})
	return reason == retry.Allowed
}

// attemptState returns the input for the decision of pkg/retry.
func (x *exchange) attemptState(kind errkind.Kind) retry.Attempt {
	return retry.Attempt{
		Kind:           kind,
		Repeatable:     x.repeatable(),
		MayHaveRun:     x.unknown != nil,
		Sent:           x.sent,
		MaxAttempts:    maxAttempts(x.rule.Config),
		Quarantined:    x.quarantined() != nil,
		Suspect:        x.isSuspect(),
		ArrivedAsRetry: x.isRetry,
		NoRetry:        x.noRetry,
		DeadlineLeft:   x.timeLeft(),
		Expected:       x.state.latency.Quantile(medianQuantile),
	}
}

// recordFailure records the failure of one attempt.
func (x *exchange) recordFailure(r result) {
	x.emit(event.Event{Code: event.AttemptFailed, Upstream: r.binding.upstream.ID, Attempt: r.binding.number, Reason: r.err.Kind.String(), Detail: r.err.Error()})
	x.noRetry = x.noRetry || r.noRetry
	if x.first == nil {
		x.first = r.err
	}
	if x.unknown == nil && r.err.Kind.Answer().Outcome != errkind.NotRun {
		x.unknown = r.err
	}
}

// finalError returns the error to respond with. A failure after which the request may
// have run takes precedence, so that "not run" is reported only if no attempt can have
// run. Next comes the first failed attempt, and last the error that prevented another.
func (x *exchange) finalError(err *errkind.Error) *errkind.Error {
	switch {
	case x.unknown != nil:
		return x.unknown
	case x.first != nil:
		return x.first
	default:
		return err
	}
}

func maxAttempts(r *config.Rule) int {
	if r.Repeat != config.Repeatable {
		return cmp.Or(r.Retry.MaxAttempts, nonRepeatableAttempts)
	}
	return r.Retry.MaxAttempts
}

func budgetPercent(r *config.Rule) float64 {
	if r.Repeat != config.Repeatable {
		return config.DefaultBudgetPercent
	}
	return r.Retry.BudgetPercent
}

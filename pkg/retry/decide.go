package retry

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Reason says why a request is or is not sent again. It is used in events.
type Reason string

// The reasons of Decide and of hedging.
const (
	// Allowed permits the attempt, for which a token was withdrawn.
	Allowed Reason = "allowed"
	// DeniedKind means that the request must not be sent again after an error of this kind.
	DeniedKind Reason = "kind-not-retryable"
	// DeniedMayHaveRun means that a non-repeatable request may have run.
	DeniedMayHaveRun Reason = "may-have-run"
	// DeniedAttempts means that the request was sent as often as its rule allows.
	DeniedAttempts Reason = "max-attempts"
	// DeniedArrivedAsRetry means that the request arrived as a retry by a layer above.
	DeniedArrivedAsRetry Reason = "arrived-as-retry"
	// DeniedUpstream means that the upstream's response asked not to retry.
	DeniedUpstream Reason = "upstream-said-no-retry"
	// DeniedDeadline means that the deadline is too near for another attempt.
	DeniedDeadline Reason = "deadline-too-near"
	// DeniedBudget means that the budget is exhausted.
	DeniedBudget Reason = "budget-spent"
	// DeniedLevel means that the budget is not exhausted, but kept for attempts with higher
	// precedence, if there are any: Levels.Settle makes the final decision.
	DeniedLevel Reason = "level"
	// DeniedQuarantined means that several upstreams crashed while running the request.
	DeniedQuarantined Reason = "quarantined"
	// DeniedSuspect means that an upstream crashed while running the request. It is not
	// hedged, so that it can't crash two upstreams at once.
	DeniedSuspect Reason = "upstream-ended"
	// DeniedNoOtherUpstream means that no other upstream can take the request.
	DeniedNoOtherUpstream Reason = "no-other-upstream"
)

// Attempt describes a request for which an extra attempt is considered.
type Attempt struct {
	// Kind is the error of the failed attempt; None when hedging.
	Kind errkind.Kind
	// Repeatable is set if the request may run twice.
	Repeatable bool
	// MayHaveRun is set if an earlier attempt may have been executed.
	MayHaveRun bool
	// Sent is the number of attempts so far.
	Sent int
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int
	// ArrivedAsRetry is set if the request arrived marked as a retry.
	ArrivedAsRetry bool
	// Quarantined is set if the request is quarantined because it crashes upstreams.
	Quarantined bool
	// Suspect is set if the request crashed an upstream, as seen by this or another host.
	Suspect bool
	// NoRetry is set if an upstream's response asked not to retry.
	NoRetry bool
	// DeadlineLeft is the time until the deadline.
	DeadlineLeft time.Duration
	// Expected is the expected duration of an attempt; 0 if unknown.
	Expected time.Duration
}

// Decide returns whether one more attempt is allowed, or why not. If it returns Allowed, it
// has withdrawn a token from b; the caller must refund it if it makes no attempt after all.
func Decide(a Attempt, b *Budget) Reason {
	if reason := a.deny(); reason != Allowed {
		return reason
	}
	if !b.Withdraw() {
		return DeniedBudget
	}
	return Allowed
}

// DecideAbove is Decide for an attempt that is made only if the budget holds as much as the
// claim requires.
func DecideAbove(a Attempt, b *Budget, c Claim) Reason {
	reason := a.deny()
	switch {
	case reason != Allowed:
		return reason
	case b.WithdrawAbove(c.Level()):
		return Allowed
	case b.Exhausted():
		return DeniedBudget
	default:
		return DeniedLevel
	}
}

// deny applies every rule except the budget, the most severe first.
func (a Attempt) deny() Reason {
	switch {
	case !a.Repeatable && a.MayHaveRun:
		return DeniedMayHaveRun
	case a.Kind != errkind.None && !retryable(a.Kind, a.Repeatable):
		return DeniedKind
	case a.Quarantined:
		return DeniedQuarantined
	case a.Suspect && a.Kind == errkind.None:
		return DeniedSuspect
	case a.Sent >= a.MaxAttempts:
		return DeniedAttempts
	case a.ArrivedAsRetry:
		return DeniedArrivedAsRetry
	case a.NoRetry:
		return DeniedUpstream
	case a.DeadlineLeft <= a.Expected:
		return DeniedDeadline
	default:
		return Allowed
	}
}

// retryable reports whether an error of this kind allows another attempt. A non-repeatable
// request may be sent again only after an attempt that is known not to have run.
func retryable(kind errkind.Kind, repeatable bool) bool {
	switch kind {
	case errkind.ConnectFailed, errkind.SendFailed, errkind.UpstreamRefused, errkind.ConnectionLimit:
		return true
	case errkind.UpstreamBroken, errkind.UpstreamFailed:
		return repeatable
	default:
		return false
	}
}

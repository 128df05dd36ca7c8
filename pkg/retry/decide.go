package retry

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Reason says why a request is or is not sent again. It is a constant text for
// events.
type Reason string

// The reasons of Decide and of hedging.
const (
	// Allowed grants the send; its token was withdrawn.
	Allowed Reason = "allowed"
	// DeniedKind is an error after which this request must not be sent again.
	DeniedKind Reason = "kind-not-retryable"
	// DeniedMayHaveRun is a non-repeatable request that may have run.
	DeniedMayHaveRun Reason = "may-have-run"
	// DeniedAttempts is a request that was sent as often as its rule allows.
	DeniedAttempts Reason = "max-attempts"
	// DeniedArrivedAsRetry is a request that arrived as a retry of a layer above.
	DeniedArrivedAsRetry Reason = "arrived-as-retry"
	// DeniedUpstream is an answer that said not to retry.
	DeniedUpstream Reason = "upstream-said-no-retry"
	// DeniedDeadline is a deadline too near for another send.
	DeniedDeadline Reason = "deadline-too-near"
	// DeniedBudget is a spent budget.
	DeniedBudget Reason = "budget-spent"
	// DeniedQuarantined is a request under which several upstreams ended.
	DeniedQuarantined Reason = "quarantined"
	// DeniedSuspect is a request under which an upstream ended: it is not hedged, so that
	// two do not end at once.
	DeniedSuspect Reason = "upstream-ended"
	// DeniedNoOtherUpstream means no other upstream can take the request.
	DeniedNoOtherUpstream Reason = "no-other-upstream"
)

// Attempt is what is known about a request when an extra send is considered.
type Attempt struct {
	// Kind is the error of the failed send; None when hedging.
	Kind errkind.Kind
	// Repeatable states that the request may run twice.
	Repeatable bool
	// MayHaveRun states that an earlier send may have been executed.
	MayHaveRun bool
	// Sent counts the sends so far.
	Sent int
	// MaxAttempts bounds all sends.
	MaxAttempts int
	// ArrivedAsRetry states that the request came marked as a retry.
	ArrivedAsRetry bool
	// Quarantined states that upstreams end under it.
	Quarantined bool
	// Suspect states that an upstream ended under it, here or at another host.
	Suspect bool
	// NoRetry states that the upstream's answer said not to retry.
	NoRetry bool
	// DeadlineLeft is the time to the deadline.
	DeadlineLeft time.Duration
	// Expected is the time that a send usually takes; 0 if unknown.
	Expected time.Duration
}

// Decide reports whether one more send is allowed, and why. Allowed withdraws
// a token from b; the caller refunds it when it does not send after all.
func Decide(a Attempt, b *Budget) Reason {
	if reason := a.deny(); reason != Allowed {
		return reason
	}
	if !b.Withdraw() {
		return DeniedBudget
	}
	return Allowed
}

// deny applies every rule but the budget, the gravest first.
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

// retryable reports whether kind allows another send. A non-repeatable request
// may only follow a send that certainly did not run.
func retryable(kind errkind.Kind, repeatable bool) bool {
	switch kind {
	case errkind.ConnectFailed, errkind.SendFailed, errkind.UpstreamRefused:
		return true
	case errkind.UpstreamBroken, errkind.UpstreamFailed:
		return repeatable
	default:
		return false
	}
}

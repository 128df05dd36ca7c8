package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/returning"
)

// This file gives callers that came back at the time that they were told precedence over
// those that did not: in the retry budget of a registered service, and in the queue.

// CallerNotes records the callers that were refused. Its methods are called on the goroutines
// that serve requests and do not block.
type CallerNotes interface {
	// RecordRefusal records that a caller was told to come back after wait.
	RecordRefusal(caller uint64, wait time.Duration)
	// Ask asks whether a caller came back as it was told; a true answer is given once for each
	// refusal. The answer may never arrive. The caller must call cancel when it no longer
	// waits.
	Ask(caller uint64) (answer <-chan bool, cancel func())
}

// WithCallerNotes gives callers that waited as they were told precedence. Without it, extra
// attempts don't depend on ranks or on the caller.
func WithCallerNotes(n CallerNotes) Option { return func(p *Proxy) { p.callerNotes = n } }

const (
	// noteTimeout bounds waiting for the answer about a caller before a retry.
	noteTimeout = 5 * time.Millisecond
	// dueTolerance is how much earlier a note is due than the caller was told: the retry time
	// is rounded to a millisecond, and the note takes time to its host.
	dueTolerance = 2 * time.Millisecond
)

// returningState is what is known about the caller of a request.
type returningState struct {
	asked  bool
	waited bool
	answer <-chan bool // nil unless a question is open
	cancel func()      // of the open question
}

// usesNotes reports whether the request's service distinguishes callers.
func (x *exchange) usesNotes() bool {
	return x.proxy.callerNotes != nil && x.state != nil && x.state.group.budget != nil
}

// callerNumber identifies the caller for its notes; 0 if it is unknown.
func (x *exchange) callerNumber() uint64 {
	if c := x.caller.customer; c != nil {
		return returning.CustomerCaller(c.Name)
	}
	if ip := callerIP(x.req.RemoteAddr); ip != "" {
		return returning.AddressCaller(ip)
	}
	return 0
}

// recordRefusal records that the caller was told to come back after wait. Callers that exceed
// their quota, and requests that crash upstreams, get no precedence from it.
func (x *exchange) recordRefusal(kind errkind.Kind, wait time.Duration) {
	if !x.usesNotes() || kind == errkind.QuotaExceeded || kind == errkind.Quarantined {
		return
	}
	if wait <= dueTolerance { // the note would be due at once
		return
	}
	if caller := x.callerNumber(); caller != 0 {
		x.proxy.callerNotes.RecordRefusal(caller, wait-dueTolerance)
	}
}

// askNotes asks about the caller, once for each request. The question stays open until it is
// answered or closed.
func (x *exchange) askNotes() {
	if x.returning.asked || !x.usesNotes() {
		return
	}
	x.returning.asked = true
	if caller := x.callerNumber(); caller != 0 {
		x.returning.answer, x.returning.cancel = x.proxy.callerNotes.Ask(caller)
	}
}

// closeQuestion ends waiting for the answer about the caller.
func (x *exchange) closeQuestion() {
	if x.returning.answer != nil {
		x.returning.cancel()
		x.returning.answer = nil
	}
}

// askNotesIfQueued is askNotes for a request that was queued. The order of a single one does
// not matter.
func (x *exchange) askNotesIfQueued() {
	if x.state.group.pending.Load() >= 2 {
		x.askNotes()
	}
}

// learnWaited asks about the caller, unless a question is open since the request was queued,
// and waits for the answer. It reports whether the caller is now known to have waited.
func (x *exchange) learnWaited(ctx context.Context) bool {
	x.askNotes()
	if x.returning.answer == nil {
		return x.returning.waited
	}
	defer x.closeQuestion()
	timer := time.NewTimer(noteTimeout)
	defer timer.Stop()
	select {
	case x.returning.waited = <-x.returning.answer:
	case <-timer.C:
	case <-ctx.Done():
	}
	return x.returning.waited
}

// promote moves w ahead of new callers, after an answer that its caller waited.
func (x *exchange) promote(w *waiter, waited bool) {
	x.closeQuestion()
	x.returning.waited = waited
	if waited {
		x.state.group.promote(w)
	}
}

func (g *groupState) promote(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Promote(&w.entry)
}

// decideRetry decides on a retry after an error of the given kind. It asks about the caller
// only if a new one is denied by level.
func (x *exchange) decideRetry(ctx context.Context, kind errkind.Kind) retry.Reason {
	a, b := x.attemptState(kind), x.state.budget
	if !x.usesNotes() {
		return retry.Decide(a, b)
	}
	claim := x.claim(retry.New)
	if x.returning.waited {
		claim.Class = retry.Waited
	}
	reason := retry.DecideAbove(a, b, claim)
	if reason == retry.DeniedLevel && claim.Class == retry.New && x.learnWaited(ctx) {
		claim.Class = retry.Waited
		a.DeadlineLeft = x.timeLeft()
		reason = retry.DecideAbove(a, b, claim)
	}
	return x.settle(reason, claim)
}

// decideHedge decides on a hedge. Its level does not depend on the caller.
func (x *exchange) decideHedge() retry.Reason {
	a, b := x.attemptState(errkind.None), x.state.budget
	if !x.usesNotes() {
		return retry.Decide(a, b)
	}
	claim := x.claim(retry.Hedge)
	return x.settle(retry.DecideAbove(a, b, claim), claim)
}

// settle returns the final decision on an extra attempt.
func (x *exchange) settle(reason retry.Reason, claim retry.Claim) retry.Reason {
	return x.state.group.levels.Settle(clock.Now(), x.state.budget, claim, reason)
}

func (x *exchange) claim(class retry.Class) retry.Claim {
	return retry.Claim{Rank: rankOf(x.priority()), Class: class}
}

func rankOf(p config.Priority) retry.Rank {
	switch p {
	case config.PriorityHigh:
		return retry.High
	case config.PriorityLow:
		return retry.Low
	default:
		return retry.Normal
	}
}

package atmostonce

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Verdict is the action to take on a request.
type Verdict uint8

// The verdicts of Ledger.Submit.
const (
	// Execute means that the caller of Submit must execute the request. No other
	// caller gets this verdict.
	Execute Verdict = iota
	// Join means that the request is already being executed; the caller waits for
	// its result.
	Join
	// Final means that Result is the result of this request and of each repeat.
	Final
)

// Decision is what Ledger.Submit decides.
type Decision struct {
	// Verdict is the action to take.
	Verdict Verdict
	// Result is the result of the request when Verdict is Final.
	Result Result
	// Replayed is true when the result is that of an earlier request.
	Replayed bool
}

// Submission describes the arrival of a request whose ticket Sealer.Owner reported as
// Local.
type Submission struct {
	// Sequence is the sequence number of the ticket.
	Sequence uint64
	// Digest identifies the content of the request.
	Digest Digest
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// Submit decides what to do with an arriving request. The error is a *Violation.
func (l *Ledger) Submit(now time.Time, a Submission) (Decision, error) {
	now = l.advance(now)
	if a.Sequence >= l.next {
		return finalDecision(errkind.Internal, "ticket was never issued"), newViolation(ViolationNeverIssued, a.Sequence)
	}
	if a.Sequence < l.oldest {
		return finalDecision(errkind.TicketForgotten, "the record's time is over"), nil
	}
	if l.frozen {
		return finalDecision(errkind.IssuerGone, "tickets were handed over"), nil
	}
	s := l.slot(a.Sequence)
	if s.record == nil {
		return l.bind(now, s, a), nil
	}
	return s.record.decideRepeat(a)
}

// bind binds an unused ticket to the request. If the ticket may not be executed,
// it is invalidated in the same step that answers "not run".
func (l *Ledger) bind(now time.Time, s *slot, a Submission) Decision {
	s.record = &record{digest: a.Digest, deadline: a.Deadline, state: admitted}
	if !now.Before(s.expires) {
		return s.record.reject(errorResult(errkind.TicketExpired, "the ticket's lifetime is over"))
	}
	if !now.Before(a.Deadline) {
		return s.record.reject(errorResult(errkind.DeadlineBeforeSend, "the deadline passed on arrival"))
	}
	l.running++
	return Decision{Verdict: Execute}
}

// decideRepeat answers a repeated request from the record.
func (r *record) decideRepeat(a Submission) (Decision, error) {
	if a.Digest != r.digest {
		return finalDecision(errkind.TicketMismatch, "the ticket is bound to another request"), nil
	}
	if !r.state.final() {
		return Decision{Verdict: Join}, nil
	}
	if err := r.checkReport(a.Sequence); err != nil {
		return finalDecision(errkind.Internal, err.Error()), err
	}
	return Decision{Verdict: Final, Result: r.result, Replayed: true}, nil
}

func finalDecision(k errkind.Kind, detail string) Decision {
	return Decision{Verdict: Final, Result: errorResult(k, detail)}
}

package atmostonce

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Verdict is what to do with an ask.
type Verdict uint8

// The verdicts of Ledger.Submit.
const (
	// Execute means that the caller of Submit now runs the request, and alone may.
	Execute Verdict = iota
	// Join means that the request is being executed; wait for its result.
	Join
	// Final means that Result is the answer, now and for each later ask.
	Final
)

// Decision answers an ask.
type Decision struct {
	// Verdict is what to do.
	Verdict Verdict
	// Result is the answer when Verdict is Final.
	Result Result
	// Replayed is true when the result was decided by an earlier ask.
	Replayed bool
}

// Submission is one arrival of a request under a ticket that Sealer.Owner found Local.
type Submission struct {
	// Sequence is the ticket's.
	Sequence uint64
	// Digest is the request's.
	Digest Digest
	// Deadline is when the caller no longer waits.
	Deadline time.Time
}

// Submit decides one arrival. The error is a *Violation.
func (l *Ledger) Submit(now time.Time, a Submission) (Decision, error) {
	now = l.advance(now)
	if a.Sequence >= l.next {
		return final(errkind.Internal, "ticket was never issued"), breach(ViolationNeverIssued, a.Sequence)
	}
	if a.Sequence < l.oldest {
		return final(errkind.TicketForgotten, "the record's time is over"), nil
	}
	if l.frozen {
		return final(errkind.IssuerGone, "tickets were handed over"), nil
	}
	s := l.slot(a.Sequence)
	if s.record == nil {
		return l.first(now, s, a), nil
	}
	return s.record.again(a)
}

// first binds the ticket to the request. A ticket that may not run is burnt in
// the same step in which "not run" is answered.
func (l *Ledger) first(now time.Time, s *slot, a Submission) Decision {
	s.record = &record{digest: a.Digest, deadline: a.Deadline, state: admitted}
	if !now.Before(s.expires) {
		return s.record.burn(refused(errkind.TicketExpired, "the ticket's lifetime is over"))
	}
	if !now.Before(a.Deadline) {
		return s.record.burn(refused(errkind.DeadlineBeforeSend, "the deadline passed on arrival"))
	}
	l.running++
	return Decision{Verdict: Execute}
}

// again answers a later ask from the record.
func (r *record) again(a Submission) (Decision, error) {
	if a.Digest != r.digest {
		return final(errkind.TicketMismatch, "the ticket is bound to another request"), nil
	}
	if !r.state.final() {
		return Decision{Verdict: Join}, nil
	}
	if err := r.checkReport(a.Sequence); err != nil {
		return final(errkind.Internal, err.Error()), err
	}
	return Decision{Verdict: Final, Result: r.result, Replayed: true}, nil
}

func final(k errkind.Kind, detail string) Decision {
	return Decision{Verdict: Final, Result: refused(k, detail)}
}

package atmostonce

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// state is what became of a used ticket.
type state uint8

const (
	// admitted: nothing has left for any upstream.
	admitted state = iota
	// sending: the first byte may have left.
	sending
	// ended: the result is final.
	ended
)

func (s state) final() bool { return s == ended }

// record is the memory of a used ticket.
type record struct {
	digest   Digest
	deadline time.Time
	result   Result
	kept     int
	state    state
	// mayHaveRun is set by each send and cleared only by a refusal before
	// running. It stands beside state so that one checks the other.
	mayHaveRun bool
}

// burn ends a record that never ran.
func (r *record) burn(result Result) Decision {
	r.state = ended
	r.result = result
	return Decision{Verdict: Final, Result: result}
}

// Send asks whether an attempt may start. It must be called immediately before
// the first byte of each attempt, also after a pause: a request that was
// reported as not run, or whose deadline passed, is never sent. The *errkind.Error
// says why not; a non-nil error besides is a *Violation, and nothing may be sent.
func (l *Ledger) Send(now time.Time, sequence uint64) (*errkind.Error, error) {
	now = l.advance(now)
	r, err := l.started(sequence)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "send"), err
	}
	switch {
	case r.state == ended:
		return errkind.New(r.notSentKind(), "the request was already answered"), nil
	case r.mayHaveRun || r.state == sending:
		err := breach(ViolationSecondSend, sequence)
		return errkind.Wrap(errkind.Internal, err, "send"), err
	case !now.Before(r.deadline):
		l.end(r, refused(errkind.DeadlineBeforeSend, "the deadline passed before sending"))
		return errkind.New(errkind.DeadlineBeforeSend, r.result.Detail), nil
	}
	r.state = sending
	r.mayHaveRun = true
	return nil, nil
}

// notSentKind is the kind of a result that ended the request before this send.
func (r *record) notSentKind() errkind.Kind {
	if r.result.Kind == errkind.None {
		return errkind.Internal
	}
	return r.result.Kind
}

// NotRun reports that the attempt certainly did not run: no full request
// left, or the upstream declared its refusal before running. Another attempt
// may then be made.
func (l *Ledger) NotRun(now time.Time, sequence uint64) error {
	l.advance(now)
	r, err := l.started(sequence)
	if err != nil || r.state != sending {
		return err
	}
	r.state = admitted
	r.mayHaveRun = false
	return nil
}

// Finish ends the execution and returns the result to report, for this ask and
// all that joined it. The first call decides. A result of "not run" while an
// attempt may have run is a *Violation and becomes "unknown".
func (l *Ledger) Finish(now time.Time, sequence uint64, result Result) (Result, error) {
	l.advance(now)
	r, err := l.started(sequence)
	if err != nil {
		return refused(errkind.Internal, err.Error()), err
	}
	if r.state == ended {
		return r.result, nil
	}
	err = r.checkFinish(sequence, result)
	if err != nil {
		result = refused(errkind.Internal, err.Error())
	}
	l.end(r, result)
	return result, err
}

// Withdraw ends an execution that has not been sent, and returns its result.
// When an attempt may have run the result is "unknown" and not final: the
// attempt goes on, and a later ask gets what became of it.
func (l *Ledger) Withdraw(now time.Time, sequence uint64) (Result, error) {
	l.advance(now)
	r, err := l.started(sequence)
	if err != nil {
		return refused(errkind.Internal, err.Error()), err
	}
	switch r.state {
	case admitted:
		l.end(r, refused(errkind.DeadlineBeforeSend, "withdrawn before sending"))
		return r.result, r.checkReport(sequence)
	case ended:
		return r.result, nil
	default:
		return refused(errkind.DeadlineAfterSend, "still executing"), nil
	}
}

// end makes a result final and keeps as much of it as the bounds allow. The
// present askers get the whole answer; only later ones miss what is not kept.
func (l *Ledger) end(r *record, result Result) {
	l.running--
	r.state = ended
	r.result = result
	if result.Answer == nil {
		return
	}
	size := result.Answer.size()
	if size > l.conf.MaxAnswerBytes || l.kept+size > l.conf.MaxKeptBytes {
		r.result = refused(errkind.AnswerNotKept, "the answer was given once and not kept")
		return
	}
	r.kept = size
	l.kept += size
}

// started returns the record of an execution that was started. The slot of a
// running execution is never freed: one that is gone had ended.
func (l *Ledger) started(sequence uint64) (*record, error) {
	if sequence < l.oldest {
		return &record{state: ended, result: refused(errkind.TicketForgotten, "the record's time is over")}, nil
	}
	if sequence >= l.next {
		return nil, breach(ViolationNoRecord, sequence)
	}
	r := l.slot(sequence).record
	if r == nil {
		return nil, breach(ViolationNoRecord, sequence)
	}
	return r, nil
}

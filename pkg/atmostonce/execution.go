package atmostonce

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// state is the execution state of a used ticket.
type state uint8

const (
	// admitted means that nothing was sent to any upstream.
	admitted state = iota
	// sending means that the first byte may have been sent.
	sending
	// finished means that the result is final.
	finished
)

func (s state) final() bool { return s == finished }

// record holds the state of a used ticket.
type record struct {
	digest    Digest
	deadline  time.Time
	result    Result
	keptBytes int
	state     state
	// mayHaveRun is set by each send and cleared only when the attempt certainly
	// did not run. It is redundant with state, so that each checks the other.
	mayHaveRun bool
}

// reject finishes a record that was never executed.
func (r *record) reject(result Result) Decision {
	r.state = finished
	r.result = result
	return Decision{Verdict: Final, Result: result}
}

// Send reports whether an attempt may start. It must be called immediately before
// the first byte of each attempt, because the process may have been paused since
// the request was admitted: a request that was reported as not run, or whose
// deadline has passed, must never be sent. The attempt may start only if the
// *errkind.Error is nil; otherwise it says why not. A non-nil second error is a
// *Violation.
func (l *Ledger) Send(now time.Time, sequence uint64) (*errkind.Error, error) {
	now = l.advance(now)
	r, err := l.startedRecord(sequence)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "send"), err
	}
	switch {
	case r.state == finished:
		return errkind.New(r.notSentKind(), "the request was already answered"), nil
	case r.mayHaveRun || r.state == sending:
		err := newViolation(ViolationSecondSend, sequence)
		return errkind.Wrap(errkind.Internal, err, "send"), err
	case !now.Before(r.deadline):
		l.complete(r, errorResult(errkind.DeadlineBeforeSend, "the deadline passed before sending"))
		return errkind.New(errkind.DeadlineBeforeSend, r.result.Detail), nil
	}
	r.state = sending
	r.mayHaveRun = true
	return nil, nil
}

// notSentKind returns the error kind for a send after the request has finished.
func (r *record) notSentKind() errkind.Kind {
	if r.result.Kind == errkind.None {
		return errkind.Internal
	}
	return r.result.Kind
}

// NotRun records that the attempt certainly did not run: the request was not
// sent completely, or the upstream reported that it refused the request before
// running it. Another attempt may then be made.
func (l *Ledger) NotRun(now time.Time, sequence uint64) error {
	l.advance(now)
	r, err := l.startedRecord(sequence)
	if err != nil || r.state != sending {
		return err
	}
	r.state = admitted
	r.mayHaveRun = false
	return nil
}

// Finish ends the execution and returns the result to report to this request and
// to all that joined it. The first call determines the result. A result of
// "not run" while an attempt may have run is a *Violation and becomes "unknown".
func (l *Ledger) Finish(now time.Time, sequence uint64, result Result) (Result, error) {
	l.advance(now)
	r, err := l.startedRecord(sequence)
	if err != nil {
		return errorResult(errkind.Internal, err.Error()), err
	}
	if r.state == finished {
		return r.result, nil
	}
	err = r.checkFinish(sequence, result)
	if err != nil {
		result = errorResult(errkind.Internal, err.Error())
	}
	l.complete(r, result)
	return result, err
}

// Withdraw ends an execution that has not been sent and returns its result. If
// an attempt may have run, the result is "unknown" and not final: the attempt
// continues, and a repeated request receives its result.
func (l *Ledger) Withdraw(now time.Time, sequence uint64) (Result, error) {
	l.advance(now)
	r, err := l.startedRecord(sequence)
	if err != nil {
		return errorResult(errkind.Internal, err.Error()), err
	}
	switch r.state {
	case admitted:
		l.complete(r, errorResult(errkind.DeadlineBeforeSend, "withdrawn before sending"))
		return r.result, r.checkReport(sequence)
	case finished:
		return r.result, nil
	default:
		return errorResult(errkind.DeadlineAfterSend, "still executing"), nil
	}
}

// complete makes a result final and stores its response if the bounds allow it. A
// response that is not stored still reaches the requests that are waiting for it;
// only later repeats miss it.
func (l *Ledger) complete(r *record, result Result) {
	l.running--
	r.state = finished
	r.result = result
	if result.Answer == nil {
		return
	}
	size := result.Answer.size()
	if size > l.conf.MaxAnswerBytes || l.keptBytes+size > l.conf.MaxStoredBytes {
		r.result = errorResult(errkind.AnswerNotKept, "the answer was given once and not kept")
		return
	}
	r.keptBytes = size
	l.keptBytes += size
}

// startedRecord returns the record of an execution that was started. The slot of
// a running execution is never reclaimed, so a reclaimed one had finished.
func (l *Ledger) startedRecord(sequence uint64) (*record, error) {
	if sequence < l.oldest {
		return &record{state: finished, result: errorResult(errkind.TicketForgotten, "the record's time is over")}, nil
	}
	if sequence >= l.next {
		return nil, newViolation(ViolationNoRecord, sequence)
	}
	r := l.slot(sequence).record
	if r == nil {
		return nil, newViolation(ViolationNoRecord, sequence)
	}
	return r, nil
}

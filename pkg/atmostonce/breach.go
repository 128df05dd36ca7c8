package atmostonce

import (
	"strconv"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Breaches, by the numbers of their events.
const (
	// ViolationNeverIssued is a verified ticket with a number that was not issued.
	ViolationNeverIssued = event.InvariantTicketNeverIssued
	// ViolationSecondSend is a send while an earlier one may have run.
	ViolationSecondSend = event.InvariantSecondSend
	// ViolationNoRecord is a step of an execution that has no record.
	ViolationNoRecord = event.InvariantNoRecord
	// ViolationFalseNotRun is a report of "not run" for a request that may have run.
	ViolationFalseNotRun = event.InvariantFalseNotRun
)

// Violation is a broken invariant. It stops the request concerned.
type Violation struct {
	// Code is the event to emit.
	Code event.Code
	// Sequence is the ticket's.
	Sequence uint64
}

// Error implements error.
func (b *Violation) Error() string {
	return b.Code.String() + ": ticket " + strconv.FormatUint(b.Sequence, 10)
}

func breach(code event.Code, sequence uint64) *Violation {
	return &Violation{Code: code, Sequence: sequence}
}

// checkReport verifies a final result before it is reported.
func (r *record) checkReport(sequence uint64) error {
	if r.mayHaveRun && r.result.Outcome() == errkind.NotRun {
		return breach(ViolationFalseNotRun, sequence)
	}
	return nil
}

// checkFinish verifies a result against the attempts that were made.
func (r *record) checkFinish(sequence uint64, result Result) error {
	if r.mayHaveRun && result.Outcome() == errkind.NotRun {
		return breach(ViolationFalseNotRun, sequence)
	}
	if !r.mayHaveRun && result.Outcome() == errkind.Ran {
		return breach(ViolationNoRecord, sequence)
	}
	return nil
}

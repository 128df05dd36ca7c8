package atmostonce

import (
	"strconv"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Violated invariants, by their event codes.
const (
	// ViolationNeverIssued is a verified ticket whose sequence number was never issued.
	ViolationNeverIssued = event.InvariantTicketNeverIssued
	// ViolationSecondSend is a second send while the first one may have run.
	ViolationSecondSend = event.InvariantSecondSend
	// ViolationNoRecord is a state change of an execution that has no record, or a
	// result of "ran" although nothing was sent.
	ViolationNoRecord = event.InvariantNoRecord
	// ViolationFalseNotRun is a result of "not run" for a request that may have run.
	ViolationFalseNotRun = event.InvariantFalseNotRun
)

// Violation is a violated invariant. The affected request must not proceed.
type Violation struct {
	// Code is the code of the event to emit.
	Code event.Code
	// Sequence is the sequence number of the ticket.
	Sequence uint64
}

// Error implements error.
func (b *Violation) Error() string {
	return b.Code.String() + ": ticket " + strconv.FormatUint(b.Sequence, 10)
}

func newViolation(code event.Code, sequence uint64) *Violation {
	return &Violation{Code: code, Sequence: sequence}
}

// checkReport verifies that a final result agrees with the attempts that were made
// before it is reported.
func (r *record) checkReport(sequence uint64) error {
	if r.mayHaveRun && r.result.Outcome() == errkind.NotRun {
		return newViolation(ViolationFalseNotRun, sequence)
	}
	return nil
}

// checkFinish verifies that a new result agrees with the attempts that were made.
func (r *record) checkFinish(sequence uint64, result Result) error {
	if r.mayHaveRun && result.Outcome() == errkind.NotRun {
		return newViolation(ViolationFalseNotRun, sequence)
	}
	if !r.mayHaveRun && result.Outcome() == errkind.Ran {
		return newViolation(ViolationNoRecord, sequence)
	}
	return nil
}

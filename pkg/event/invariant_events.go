package event

// Codes 10xxx: broken invariants. 109xx: single execution.
const (
	InvariantTicketNeverIssued Code = 10901
	InvariantSecondSend        Code = 10902
	InvariantNoRecord          Code = 10903
	InvariantFalseNotRun       Code = 10904
)

// invariantEvents describes the codes 10xxx: broken invariants; each stops the request concerned, not the process.
var invariantEvents = map[Code]Entry{
	InvariantTicketNeverIssued: {"invariant-ticket-never-issued", Error, "A verified ticket carries a number that this process never issued; it is not run.", "sequence number"},
	InvariantSecondSend:        {"invariant-second-send", Error, "A second send was asked for while the first may have run; it is not sent.", "sequence number"},
	InvariantNoRecord:          {"invariant-no-record", Error, "A step of an execution has no record of its start; the answer is unknown.", "sequence number"},
	InvariantFalseNotRun:       {"invariant-false-not-run", Error, "\"Not run\" was about to be reported for a request that may have run; the answer is unknown.", "sequence number"},
}

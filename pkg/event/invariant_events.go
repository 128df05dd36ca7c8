package event

// Codes 10900-10999: violated invariants of at-most-once execution.
const (
	InvariantTicketNeverIssued Code = 10901
	InvariantSecondSend        Code = 10902
	InvariantNoRecord          Code = 10903
	InvariantFalseNotRun       Code = 10904
)

// Codes 10600-10699: violated invariants of membership.
const (
	InvariantIncarnationBack Code = 10600
	InvariantSelfOverwritten Code = 10601
	InvariantDeathUntimed    Code = 10602
	InvariantWakingJudged    Code = 10603
)

// Codes 10200-10299: violated invariants of configuration.
const (
	ConfigFellBack Code = 10201
)

// Codes 10400-10499: violated invariants of the request path.
const (
	NonRepeatableResend Code = 10401
)

// invariantEvents describes the codes 10xxx: violated invariants. A violation stops the
// request concerned, not the process.
var invariantEvents = map[Code]Entry{
	InvariantTicketNeverIssued: {"invariant-ticket-never-issued", Error, "A verified ticket carries a number that this process never issued; it is not run.", "sequence number"},
	InvariantSecondSend:        {"invariant-second-send", Error, "A second attempt was requested while the first may have run; it is not sent.", "sequence number"},
	InvariantNoRecord:          {"invariant-no-record", Error, "A step of an execution has no record of its start; the outcome is reported as unknown.", "sequence number"},
	InvariantFalseNotRun:       {"invariant-false-not-run", Error, "\"Not run\" was about to be reported for a request that may have run; the outcome is reported as unknown.", "sequence number"},
	InvariantIncarnationBack:   {"invariant-incarnation-back", Error, "An update about a member would have replaced a newer one; it was dropped.", "incarnation"},
	InvariantSelfOverwritten:   {"invariant-self-overwritten", Error, "An update from another host would have replaced this host's own entry; it was dropped.", "incarnation"},
	InvariantDeathUntimed:      {"invariant-death-untimed", Error, "A member would have been declared dead without a suspicion that timed out.", "incarnation"},
	InvariantWakingJudged:      {"invariant-waking-judged", Error, "A member would have been declared suspect or dead while this process was resuming after a pause.", "incarnation"},
	ConfigFellBack:             {"config-fell-back", Error, "An older document would have replaced the current one; it was refused.", "revision"},
	NonRepeatableResend:        {"non-repeatable-resend", Error, "A second attempt of a non-repeatable request that may have run was prevented.", ""},
}

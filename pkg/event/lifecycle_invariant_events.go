package event

// Codes 10700-10899: violated invariants of probing (107xx) and draining (108xx).
const (
	ProbeOverBudget  Code = 10700
	GrantNotOpen     Code = 10701
	SentToLeaving    Code = 10800
	ChartStepMissing Code = 10801
)

// lifecycleInvariantEvents describes the codes 10700-10899: violated invariants of probing
// and draining.
var lifecycleInvariantEvents = map[Code]Entry{
	ProbeOverBudget:  {"probe-over-budget", Error, "A probe was due sooner than this host's share allows; it was not sent.", "ns too early"},
	GrantNotOpen:     {"grant-not-open", Error, "A probe ended that the probe budget had not granted.", ""},
	SentToLeaving:    {"sent-to-leaving", Error, "A balancer chose an upstream that was known to be leaving; the request was not sent there.", ""},
	ChartStepMissing: {"chart-step-missing", Error, "An event occurred in a state for which the state chart has no transition; nothing changed.", ""},
}

package event

// Codes 7xxx: load measurement of upstreams. Codes 7000-7099 are for probes and their budget.
const (
	ProbeSent      Code = 7001
	ProbeAnswered  Code = 7002
	ProbeFailed    Code = 7003
	ProbeOverran   Code = 7004
	BudgetRejected Code = 7005
)

// measureEvents describes the codes 7xxx: load measurement of upstreams.
var measureEvents = map[Code]Entry{
	ProbeSent:      {"probe-sent", Debug, "A probe is sent; its slot time is charged to this host's share.", "ns of slot time"},
	ProbeAnswered:  {"probe-answered", Debug, "A probe returned a load report.", "requests active there"},
	ProbeFailed:    {"probe-failed", Info, "A probe returned no load report; the reason is the error kind.", "ns since it was sent"},
	ProbeOverran:   {"probe-overran", Warn, "A probe took longer than its declared cost; the excess is paid back before the next one.", "ns over the cost"},
	BudgetRejected: {"budget-rejected", Warn, "The probe budget of an upstream is out of range; the upstream is not probed.", ""},
}

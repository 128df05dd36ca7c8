package probebudget

// Outcome states how a probe ended.
type Outcome uint8

// The outcomes of a probe.
const (
	// Answered means the upstream's whole answer arrived: its work is over.
	Answered Outcome = iota
	// Abandoned means that the upstream may still receive the probe, within Plan.Linger.
	Abandoned
	// NotSent means that no byte can have left this host.
	NotSent
)

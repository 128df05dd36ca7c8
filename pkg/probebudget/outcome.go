package probebudget

// Outcome is the outcome of a probe.
type Outcome uint8

// The outcomes of a probe.
const (
	// Answered means that the complete response arrived, so the upstream has finished.
	Answered Outcome = iota
	// Abandoned means that the sender gave up, and the upstream may still receive the probe
	// within Plan.MaxLateness.
	Abandoned
	// NotSent means that no byte was sent.
	NotSent
)

package spindle

import "time"

// Constants are the tuning constants. docs/design/05-choosing.md names the run
// that chose each.
type Constants struct {
	// ReportDecay is the age, in expected answer times, at which a report has
	// lost 63% of its weight against the mean of the group.
	ReportDecay float64
	// NearEqual is the difference in cost, as a share of the expected answer
	// time, within which upstreams count as equal and one is drawn.
	NearEqual float64
	// BindSlack is the estimated load above the slots, in requests, up to which
	// a request is still bound.
	BindSlack float64
	// MaxHold is the longest wait for a slot, in expected answer times.
	MaxHold float64
	// SlowRatio is the latency of an upstream, relative to the group, above
	// which it counts as slow.
	SlowRatio float64
	// SlowAge is the age of the oldest request in flight, in expected answer
	// times, above which an upstream counts as slow.
	SlowAge float64
	// DomainCost is the round trip to another failure domain.
	DomainCost time.Duration
	// EjectFailures is the number of failures in a row that ejects an upstream.
	EjectFailures int64
	// EjectTime is how long an ejected upstream stays out after its last failure.
	EjectTime time.Duration
	// EjectFloor is the share of the group below which nothing is ejected.
	EjectFloor float64
}

// Defaults are the constants in force.
var Defaults = Constants{
	ReportDecay:   4,
	NearEqual:     0.1,
	BindSlack:     1,
	MaxHold:       4,
	SlowRatio:     2,
	SlowAge:       3,
	DomainCost:    3 * time.Millisecond,
	EjectFailures: 1,
	EjectTime:     200 * time.Millisecond,
	EjectFloor:    0.5,
}

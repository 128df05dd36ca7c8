package spindle

import "time"

// Constants are the tuning constants. docs/design/05-choosing.md names the run
// that chose each.
type Constants struct {
	// Sample is the number of upstreams that one choice looks at, at most 32:
	// the preferred ones and others drawn at random.
	Sample float64
	// ReportDecay is the age, in expected service times, at which a report has
	// lost 63% of its weight against the mean of the group.
	ReportDecay float64
	// NearEqual is the difference in cost, as a share of the expected answer
	// time, within which upstreams count as equal and one is drawn.
	NearEqual float64
	// BindSlack is the estimated load above the slots, in requests, up to which
	// a request is still bound.
	BindSlack float64
	// MaxHold is the longest wait for a slot, in expected service times.
	MaxHold float64
	// SlowRatio is the latency of an upstream, relative to the group, above
	// which it counts as slow.
	SlowRatio float64
	// SlowAge is the age of the oldest request in flight, in expected answer
	// times, above which an upstream counts as slow.
	SlowAge float64
	// HomeSize is the number of upstreams that an entry host prefers.
	HomeSize float64
	// AwayCost is the cost of an upstream that is not preferred, in expected
	// service times.
	AwayCost float64
	// DomainCost is the round trip to another failure domain.
	DomainCost time.Duration
	// ColdFactor is the extra cost of an upstream that has just joined, in
	// expected service times; it falls to 0 over the slow start.
	ColdFactor float64
	// RefusedHold is the time, in expected service times, for which an upstream
	// that refused a request counts as full.
	RefusedHold float64
	// OverdueAfter is the time after which an answer is overdue, in expected
	// service times.
	OverdueAfter float64
	// ServiceQuantile is the quantile of the answer times that is tracked: a low
	// one, since quick answers did not wait.
	ServiceQuantile float64
	// ServiceScale relates that quantile to the mean service time: 3.2 for the
	// first quartile of a log-normal distribution with shape 1.
	ServiceScale float64
	// QuantileStep is the relative change of the tracked quantile by one answer.
	QuantileStep float64
	// AverageSamples is the number of reports over which the group's mean decays.
	AverageSamples float64
	// EjectFailures is the number of failures in a row that ejects an upstream.
	EjectFailures float64
	// EjectTime is how long an ejected upstream stays out after its last failure.
	EjectTime time.Duration
	// EjectFloor is the share of the group below which nothing is ejected.
	EjectFloor float64
}

// Defaults are the constants in force.
var Defaults = Constants{
	Sample:          12,
	ReportDecay:     0.6,
	NearEqual:       0.05,
	BindSlack:       2,
	MaxHold:         4,
	SlowRatio:       3,
	SlowAge:         1.5,
	HomeSize:        4,
	AwayCost:        0.4,
	DomainCost:      3 * time.Millisecond,
	ColdFactor:      2,
	RefusedHold:     1,
	OverdueAfter:    4,
	ServiceQuantile: 0.25,
	ServiceScale:    3.2,
	QuantileStep:    0.05,
	AverageSamples:  64,
	EjectFailures:   1,
	EjectTime:       200 * time.Millisecond,
	EjectFloor:      0.5,
}

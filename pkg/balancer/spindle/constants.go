package spindle

import "time"

// Constants are the tuning constants. docs/design/05-choosing.md lists the measurement
// behind each of them.
type Constants struct {
	// Sample is the number of upstreams that one choice considers, at most 32: the
	// preferred ones and a random sample of the others.
	Sample float64
	// ReportDecay is the age, in expected service times, at which a report has
	// lost 63% of its weight in favour of the mean of the group.
	ReportDecay float64
	// NearEqual is the difference in cost, in expected service times, within which
	// upstreams count as equal and one is chosen at random.
	NearEqual float64
	// BindSlack is the estimated load above the slots, in requests, below which a request
	// is still assigned to an upstream.
	BindSlack float64
	// MaxHold is the maximum wait for a slot, in expected service times.
	MaxHold float64
	// SlowRatio is the latency of an upstream, relative to the group, above
	// which it counts as slow.
	SlowRatio float64
	// SlowAge is the age of the oldest request in flight, in expected service times, above
	// which an upstream counts as slow.
	SlowAge float64
	// HomeSize is the number of upstreams that an entry host prefers.
	HomeSize float64
	// AwayCost is the extra cost of an upstream that is not preferred, in expected
	// service times.
	AwayCost float64
	// DomainCost is the round trip to another failure domain.
	DomainCost time.Duration
	// ColdFactor is the extra cost of an upstream that has just joined, in expected service
	// times; it decreases linearly to 0 during the slow start.
	ColdFactor float64
	// RefusedHold is the time, in expected service times, for which an upstream
	// that refused a request counts as full.
	RefusedHold float64
	// OverdueAfter is the time after which a response is overdue, in expected service
	// times.
	OverdueAfter float64
	// ServiceQuantile is the quantile of the response times that is tracked: a low one,
	// because fast responses include no queueing time.
	ServiceQuantile float64
	// ServiceScale is the ratio of the mean service time to that quantile: 3.2 for the
	// first quartile of a log-normal distribution with shape 1.
	ServiceScale float64
	// QuantileStep is the relative change of the tracked quantile by one response.
	QuantileStep float64
	// AverageSamples is the decay constant of the group's mean load, in reports.
	AverageSamples float64
	// EjectFailures is the number of consecutive failures that ejects an upstream.
	EjectFailures float64
	// EjectTime is how long an upstream stays ejected after its last failure, for each
	// failure from EjectFailures on.
	EjectTime time.Duration
	// EjectFloor is the minimum share of the considered upstreams that are not ejected. If
	// fewer are left, ejection is ignored.
	EjectFloor float64
}

// Defaults are the default constants.
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

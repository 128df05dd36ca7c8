package spindle

import "time"

// Tunable gives access to one constant by name, for parameter sweeps.
type Tunable struct {
	// Name is the field name in Constants.
	Name string
	// Unit is the unit of the value.
	Unit string
	// Get returns the value in Unit.
	Get func(*Constants) float64
	// Set sets the value in Unit.
	Set func(*Constants, float64)
}

// Tunables lists every constant.
var Tunables = []Tunable{
	number("Sample", "upstreams", func(c *Constants) *float64 { return &c.Sample }),
	number("ReportDecay", "expected service times", func(c *Constants) *float64 { return &c.ReportDecay }),
	number("NearEqual", "expected service times", func(c *Constants) *float64 { return &c.NearEqual }),
	number("BindSlack", "requests", func(c *Constants) *float64 { return &c.BindSlack }),
	number("MaxHold", "expected service times", func(c *Constants) *float64 { return &c.MaxHold }),
	number("SlowRatio", "ratio", func(c *Constants) *float64 { return &c.SlowRatio }),
	number("SlowAge", "expected service times", func(c *Constants) *float64 { return &c.SlowAge }),
	number("HomeSize", "upstreams", func(c *Constants) *float64 { return &c.HomeSize }),
	number("AwayCost", "expected service times", func(c *Constants) *float64 { return &c.AwayCost }),
	duration("DomainCost", func(c *Constants) *time.Duration { return &c.DomainCost }),
	number("ColdFactor", "expected service times", func(c *Constants) *float64 { return &c.ColdFactor }),
	number("RefusedHold", "expected service times", func(c *Constants) *float64 { return &c.RefusedHold }),
	number("OverdueAfter", "expected service times", func(c *Constants) *float64 { return &c.OverdueAfter }),
	number("ServiceQuantile", "share", func(c *Constants) *float64 { return &c.ServiceQuantile }),
	number("ServiceScale", "ratio", func(c *Constants) *float64 { return &c.ServiceScale }),
	number("QuantileStep", "ratio", func(c *Constants) *float64 { return &c.QuantileStep }),
	number("AverageSamples", "reports", func(c *Constants) *float64 { return &c.AverageSamples }),
	number("EjectFailures", "failures", func(c *Constants) *float64 { return &c.EjectFailures }),
	duration("EjectTime", func(c *Constants) *time.Duration { return &c.EjectTime }),
	number("EjectFloor", "share", func(c *Constants) *float64 { return &c.EjectFloor }),
}

func number(name, unit string, field func(*Constants) *float64) Tunable {
	return Tunable{
		Name: name,
		Unit: unit,
		Get:  func(c *Constants) float64 { return *field(c) },
		Set:  func(c *Constants, v float64) { *field(c) = v },
	}
}

// duration returns a tunable in milliseconds.
func duration(name string, field func(*Constants) *time.Duration) Tunable {
	return Tunable{
		Name: name,
		Unit: "ms",
		Get:  func(c *Constants) float64 { return float64(*field(c)) / float64(time.Millisecond) },
		Set: func(c *Constants, v float64) {
			*field(c) = time.Duration(v * float64(time.Millisecond))
		},
	}
}

package spindle

import (
	"math"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// candidate is an upstream under consideration.
type candidate struct {
	member  *member
	load    float64 // estimated requests there, of all entry hosts
	full    bool    // own requests and the report, without the group's mean, fill it
	cost    float64 // estimated time to the response, ns; +Inf if no connection is left
	ejected bool
}

// estimate predicts the load of m and the time to its response.
func (p *picker) estimate(m *member, now time.Time, service float64) candidate {
	own := float64(m.Outstanding())
	reported, mean := p.remoteLoad(m, now, service)
	load := own + reported + mean
	slots := float64(m.Slots)
	queue := max(load+1-slots, 0) / slots
	slow := p.slowness(m, now, service)
	c := candidate{
		member:  m,
		load:    load,
		full:    own+reported >= slots+p.policy.constants.BindSlack,
		cost:    m.rtt + service*(slow*(1+queue)+p.awayCost(m)+p.slowStartCost(m, now)),
		ejected: p.ejected(m, now),
	}
	if m.Outstanding() >= m.share {
		c.cost = math.Inf(1)
	}
	return c
}

// remoteLoad estimates the requests of other entry hosts as a weighted sum of the newest
// report and the group's mean. As the report ages, its weight shifts to the mean. An upstream that
// has just refused a request counts as full.
func (p *picker) remoteLoad(m *member, now time.Time, service float64) (reported, mean float64) {
	c := p.policy.constants
	if age, ok := m.SinceRefusal(now); ok && float64(age) < c.RefusedHold*service {
		return float64(m.Slots) + c.BindSlack, 0
	}
	mean = p.policy.group.remoteLoad.load()
	n, age, ok := m.RemoteInFlight(now)
	if !ok {
		return 0, mean
	}
	w := decay(float64(age), c.ReportDecay*service)
	return w * float64(n), (1 - w) * mean
}

// awayCost returns the extra cost of an upstream that this entry host does not prefer, in
// expected service times.
func (p *picker) awayCost(m *member) float64 {
	if m.home {
		return 0
	}
	return p.policy.constants.AwayCost
}

// slowStartCost returns the extra cost of an upstream in its slow start, in expected service times.
func (p *picker) slowStartCost(m *member, now time.Time) float64 {
	ramp := p.policy.options.SlowStart
	since := now.Sub(m.Added)
	if m.Added.IsZero() || since >= ramp {
		return 0
	}
	return p.policy.constants.ColdFactor * (1 - float64(since)/float64(ramp))
}

// slowness returns the factor by which m is slower than the group. A request in flight that
// is older than expected counts before its response arrives.
func (p *picker) slowness(m *member, now time.Time, service float64) float64 {
	c := p.policy.constants
	factor := 1.0
	if m.Outstanding() > 0 {
		if oldest := float64(m.OldestAge(now)) - m.rtt; oldest > c.SlowAge*service {
			factor = oldest / service
		}
	}
	mean, age := m.Latency(now)
	ratio := (float64(mean) - m.rtt) / service
	if ratio <= c.SlowRatio {
		return factor
	}
	if ratio *= decay(float64(age), float64(balancer.LatencyDecay)); ratio > c.SlowRatio {
		factor = max(factor, ratio)
	}
	return factor
}

// negligibleAge is the age, in time constants, above which a weight is treated as 0.
const negligibleAge = 8

// decay returns the exponential weight at an age.
func decay(age, timeConstant float64) float64 {
	if age > negligibleAge*timeConstant {
		return 0
	}
	return math.Exp(-age / timeConstant)
}

// maxEjectSteps limits the growth of the ejection time.
const maxEjectSteps = 8

// ejected reports whether m is ejected because of recent failures. The ejection time grows
// with the number of consecutive failures; after it, m gets one request at a time until one
// succeeds.
func (p *picker) ejected(m *member, now time.Time) bool {
	c := p.policy.constants
	n, age := m.Failures(now)
	if float64(n) < c.EjectFailures {
		return false
	}
	steps := min(float64(n)-c.EjectFailures+1, maxEjectSteps)
	return float64(age) < steps*float64(c.EjectTime) || m.Outstanding() > 0
}

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
	full    bool    // what is known, without the group's mean, fills it
	cost    float64 // estimated time to the answer, ns; +Inf without a connection
	ejected bool
}

// estimate predicts load and time to the answer at m.
func (p *picker) estimate(m *member, now time.Time, service float64) candidate {
	own := float64(m.Outstanding())
	reported, mean := p.others(m, now, service)
	load := own + reported + mean
	slots := float64(m.Slots)
	queue := max(load+1-slots, 0) / slots
	slow := p.slowness(m, now, service)
	c := candidate{
		member:  m,
		load:    load,
		full:    own+reported >= slots+p.policy.constants.BindSlack,
		cost:    m.rtt + service*(slow*(1+queue)+p.away(m)+p.cold(m, now)),
		ejected: p.ejected(m, now),
	}
	if m.Outstanding() >= m.share {
		c.cost = math.Inf(1)
	}
	return c
}

// others estimates the requests of other entry hosts as the sum of two parts:
// the newest report, which loses weight as it ages, and the group's mean, which
// takes that weight. An upstream that has just refused a request is full.
func (p *picker) others(m *member, now time.Time, service float64) (reported, mean float64) {
	c := p.policy.constants
	if age, ok := m.SinceRefusal(now); ok && float64(age) < c.RefusedHold*service {
		return float64(m.Slots) + c.BindSlack, 0
	}
	mean = p.policy.group.others.load()
	n, age, ok := m.RemoteInFlight(now)
	if !ok {
		return 0, mean
	}
	w := decay(float64(age), c.ReportDecay*service)
	return w * float64(n), (1 - w) * mean
}

// away is the extra cost of an upstream that this entry host does not prefer,
// in expected service times.
func (p *picker) away(m *member) float64 {
	if m.home {
		return 0
	}
	return p.policy.constants.AwayCost
}

// cold is the extra cost of an upstream in its slow start, in expected service times.
func (p *picker) cold(m *member, now time.Time) float64 {
	ramp := p.policy.options.SlowStart
	since := now.Sub(m.Added)
	if m.Added.IsZero() || since >= ramp {
		return 0
	}
	return p.policy.constants.ColdFactor * (1 - float64(since)/float64(ramp))
}

// slowness is the factor by which m is slower than the group. A request that
// is older than expected counts before its answer comes.
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

// negligibleAge is the age, in time constants, at which a weight counts as 0.
const negligibleAge = 8

// decay is the weight left at an age.
func decay(age, timeConstant float64) float64 {
	if age > negligibleAge*timeConstant {
		return 0
	}
	return math.Exp(-age / timeConstant)
}

// maxEjectSteps bounds the growth of the ejection time.
const maxEjectSteps = 8

// ejected reports whether m failed so recently that it gets no request. The
// time grows with the failures in a row; afterwards one request at a time tries.
func (p *picker) ejected(m *member, now time.Time) bool {
	c := p.policy.constants
	n, age := m.Failures(now)
	if float64(n) < c.EjectFailures {
		return false
	}
	steps := min(float64(n)-c.EjectFailures+1, maxEjectSteps)
	return float64(age) < steps*float64(c.EjectTime) || m.Outstanding() > 0
}

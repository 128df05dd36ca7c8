package spindle

import (
	"math"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// picker is one snapshot of the group's membership.
type picker struct {
	policy  *policy
	members []member
}

// Observe implements balancer.Observer.
func (p *picker) Observe(u *balancer.Upstream, f balancer.Feedback) {
	p.policy.group.observe(u, f, p.policy.rtt(u))
}

// maxCandidates bounds the upstreams that one choice looks at.
const maxCandidates = 32

// candidate is an upstream under consideration.
type candidate struct {
	upstream *balancer.Upstream
	load     float64 // estimated requests there
	cost     float64 // estimated time to the answer, ns
}

// Pick takes one of the cheapest upstreams, or holds the request when all are
// believed full.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	var buf [maxCandidates]candidate
	cands := p.candidates(buf[:0], info)
	if len(cands) == 0 {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	c := p.policy.constants
	expected := p.policy.group.expected()
	best, cost := drawCheapest(cands, c.NearEqual*expected, info.Random)
	if best.load < float64(best.upstream.Slots)+c.BindSlack || float64(info.Waited) > c.MaxHold*expected {
		return balancer.Result{Upstream: best.upstream, Reason: "free-slot"}, nil
	}
	_ = cost
	hold := time.Duration(expected / float64(best.upstream.Slots))
	return balancer.Result{RetryAfter: hold, Reason: "all-full"}, balancer.ErrNoSlot
}

// drawCheapest draws among the candidates whose cost is near the lowest.
func drawCheapest(cands []candidate, near float64, random uint64) (candidate, float64) {
	lowest := math.Inf(1)
	for i := range cands {
		lowest = min(lowest, cands[i].cost)
	}
	var chosen candidate
	seen := uint64(0)
	for i := range cands {
		if cands[i].cost > lowest+near {
			continue
		}
		seen++
		random = balancer.Mix(random)
		if random%seen == 0 {
			chosen = cands[i]
		}
	}
	return chosen, lowest
}

// candidates estimates the members that were not tried.
func (p *picker) candidates(out []candidate, info balancer.PickInfo) []candidate {
	n := uint64(len(p.members))
	if n == 0 {
		return out
	}
	start := info.Random >> 32 % n
	for i := range n {
		m := &p.members[(start+i)%n]
		if info.Excludes(m.Upstream) {
			continue
		}
		out = append(out, p.estimate(m, info.Now))
		if len(out) == maxCandidates {
			break
		}
	}
	return out
}

// estimate predicts load and time to the answer at m.
func (p *picker) estimate(m *member, now time.Time) candidate {
	expected := p.policy.group.expected()
	load := float64(m.Outstanding()) + p.others(m, now)
	slots := float64(m.Slots)
	queue := max(load+1-slots, 0) / slots
	slow := p.slowness(m, now, expected)
	return candidate{
		upstream: m.Upstream,
		load:     load,
		cost:     m.rtt + expected*slow*(1+queue),
	}
}

// others estimates the requests of other entry hosts: the newest report, which
// loses weight against the group's mean as it ages.
func (p *picker) others(m *member, now time.Time) float64 {
	mean := p.policy.group.others.load()
	n, age, ok := m.Others(now)
	if !ok {
		return mean
	}
	w := math.Exp(-float64(age) / (p.policy.constants.ReportDecay * p.policy.group.expected()))
	return w*float64(n) + (1-w)*mean
}

// slowness is the factor by which m is slower than the group.
func (p *picker) slowness(m *member, now time.Time, expected float64) float64 {
	c := p.policy.constants
	factor := 1.0
	if oldest := float64(m.OldestAge(now)) - m.rtt; oldest > c.SlowAge*expected {
		factor = oldest / expected
	}
	mean, age := m.Latency(now)
	recent := math.Exp(-float64(age) / float64(balancer.LatencyDecay))
	if ratio := (float64(mean) - m.rtt) / expected * recent; ratio > c.SlowRatio {
		factor = max(factor, ratio)
	}
	return factor
}

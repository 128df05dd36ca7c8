package spindle

import (
	"math"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// maxCandidates bounds the upstreams that one choice looks at.
const maxCandidates = 32

// Reasons of a choice, for the decision event.
const (
	// ReasonFree is an upstream where a slot is believed free.
	ReasonFree = "free-slot"
	// ReasonShortQueue is an upstream whose queue is believed short.
	ReasonShortQueue = "short-queue"
	// ReasonWaited is a request that waited long enough.
	ReasonWaited = "waited"
	// ReasonPanic is a choice among all members, since most look bad.
	ReasonPanic = "panic"
	// ReasonFull is a request that is held, since every upstream is believed full.
	ReasonFull = "all-full"
)

// picker is one snapshot of the group's membership.
type picker struct {
	policy  *policy
	members []member // the preferred ones first
	home    int      // number of preferred members
}

// Observe implements balancer.Observer.
func (p *picker) Observe(u *balancer.Upstream, f balancer.Feedback) {
	p.policy.group.observe(u, f, p.policy.rtt(u))
}

// Pick takes one of the cheapest upstreams, or holds the request when all are
// believed full.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	var buf [maxCandidates]candidate
	service := p.policy.group.service()
	cands := p.candidates(buf[:0], info, service)
	if len(cands) == 0 {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	cands, panicking := p.eligible(cands)
	c := p.policy.constants
	near := c.NearEqual * service
	waited := float64(info.Waited) > c.MaxHold*service
	best, ok := drawCheapest(cands, near, info.Random, panicking || waited)
	if !ok {
		hold := time.Duration(max(service/float64(cands[0].member.Slots), 1))
		return balancer.Result{Reason: ReasonFull, RetryAfter: hold}, balancer.ErrNoSlot
	}
	return balancer.Result{
		Upstream:     best.member.Upstream,
		Reason:       best.reason(panicking),
		OverdueAfter: time.Duration(c.OverdueAfter*service + best.member.rtt),
	}, nil
}

// reason names the ground of a choice.
func (c candidate) reason(panicking bool) string {
	switch {
	case panicking:
		return ReasonPanic
	case c.full:
		return ReasonWaited
	case c.load < float64(c.member.Slots):
		return ReasonFree
	default:
		return ReasonShortQueue
	}
}

// candidates estimates the preferred members and a sample of the others, as
// far as they were not tried. Its work does not grow with the group.
func (p *picker) candidates(out []candidate, info balancer.PickInfo, service float64) []candidate {
	for i := range p.home {
		out = p.consider(out, &p.members[i], info, service)
	}
	others := p.members[p.home:]
	if len(others) == 0 {
		return out
	}
	want := min(int(p.policy.constants.Sample), maxCandidates)
	w := newWalk(uint64(len(others)), info.Random)
	for range others {
		if len(out) >= want {
			break
		}
		out = p.consider(out, &others[w.next()], info, service)
	}
	return out
}

// consider appends the estimate of m unless it was tried.
func (p *picker) consider(out []candidate, m *member, info balancer.PickInfo, service float64) []candidate {
	if info.Excludes(m.Upstream) {
		return out
	}
	return append(out, p.estimate(m, info.Now, service))
}

// eligible drops the ejected candidates. When more than the floor allows are
// ejected, their failures say little on single upstreams, and all are kept.
func (p *picker) eligible(cands []candidate) (kept []candidate, panicking bool) {
	ejected := 0
	for i := range cands {
		if cands[i].ejected {
			ejected++
		}
	}
	if ejected == 0 {
		return cands, false
	}
	if float64(len(cands)-ejected) < p.policy.constants.EjectFloor*float64(len(cands)) {
		return cands, true
	}
	kept = cands[:0]
	for i := range cands {
		if !cands[i].ejected {
			kept = append(kept, cands[i])
		}
	}
	return kept, false
}

// drawCheapest draws among the candidates whose cost is near the lowest. Full
// ones count only when full is set. It is false if no candidate is left.
func drawCheapest(cands []candidate, near float64, random uint64, full bool) (candidate, bool) {
	lowest := math.Inf(1)
	for i := range cands {
		if full || !cands[i].full {
			lowest = min(lowest, cands[i].cost)
		}
	}
	var chosen candidate
	if math.IsInf(lowest, 1) {
		return chosen, false
	}
	seen := uint64(0)
	for i := range cands {
		if cands[i].cost > lowest+near || cands[i].full && !full {
			continue
		}
		seen++
		random = balancer.Mix(random)
		if random%seen == 0 {
			chosen = cands[i]
		}
	}
	return chosen, true
}

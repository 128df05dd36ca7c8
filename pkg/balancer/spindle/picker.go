package spindle

import (
	"math"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// maxCandidates limits the upstreams that one choice considers.
const maxCandidates = 32

// Reasons of a choice, for the decision event.
const (
	// ReasonFree means that the upstream is estimated to have a free slot.
	ReasonFree = "free-slot"
	// ReasonShortQueue means that the upstream is estimated to have a short queue.
	ReasonShortQueue = "short-queue"
	// ReasonWaited means that the request has waited for the maximum time.
	ReasonWaited = "waited"
	// ReasonPanic means that ejection was ignored, because too many members were ejected.
	ReasonPanic = "panic"
	// ReasonFull means that the request is held, because every upstream is estimated to be
	// full.
	ReasonFull = "all-full"
)

// picker is one snapshot of the group's membership.
type picker struct {
	policy  *policy
	members []member // preferred ones first
	home    int      // number of preferred members
}

// Observe implements balancer.Observer.
func (p *picker) Observe(u *balancer.Upstream, f balancer.Feedback) {
	p.policy.group.observe(u, f, p.policy.rtt(u))
}

// Pick chooses one of the upstreams with the lowest cost, or holds the request if all are
// estimated to be full.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	var buf [maxCandidates]candidate
	service := p.policy.group.service()
	cands := p.candidates(buf[:0], info, service)
	if len(cands) == 0 {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	cands, panicking := p.withoutEjected(cands)
	c := p.policy.constants
	tolerance := c.NearEqual * service
	waited := float64(info.Waited) > c.MaxHold*service
	best, ok := chooseCheapest(cands, tolerance, info.Random, panicking || waited)
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

// reason returns the reason of a choice for the decision event.
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

// candidates returns the estimates of the preferred members and of a sample of the others,
// without excluded ones. Unless members are excluded, its cost does not grow with the group.
func (p *picker) candidates(out []candidate, info balancer.PickInfo, service float64) []candidate {
	for i := range p.home {
		out = p.appendEstimate(out, &p.members[i], info, service)
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
		out = p.appendEstimate(out, &others[w.next()], info, service)
	}
	return out
}

// appendEstimate appends the estimate of m unless m is excluded.
func (p *picker) appendEstimate(out []candidate, m *member, info balancer.PickInfo, service float64) []candidate {
	if info.Excludes(m.Upstream) {
		return out
	}
	return append(out, p.estimate(m, info.Now, service))
}

// withoutEjected removes the ejected candidates. If the rest is below EjectFloor, the failures are
// probably not the fault of single upstreams, and all candidates are kept (panic mode).
func (p *picker) withoutEjected(cands []candidate) (kept []candidate, panicking bool) {
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

// chooseCheapest returns one, at random, of the candidates whose cost is near the lowest.
// Full candidates are considered only if full is set. It returns false if none is left.
func chooseCheapest(cands []candidate, tolerance float64, random uint64, full bool) (candidate, bool) {
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
		if cands[i].cost > lowest+tolerance || cands[i].full && !full {
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

package spindle

import (
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// policy holds what outlives a snapshot: the group's averages.
type policy struct {
	constants Constants
	options   balancer.Options
	group     averages
}

// Update implements balancer.Policy.
func (p *policy) Update(members []*balancer.Upstream) balancer.Picker {
	pk := &picker{policy: p}
	for _, u := range members {
		pk.members = append(pk.members, member{Upstream: u, rtt: p.rtt(u)})
	}
	return pk
}

// rtt is the cost of the way to u, in nanoseconds.
func (p *policy) rtt(u *balancer.Upstream) float64 {
	if p.options.FailureDomain == "" || u.FailureDomain == p.options.FailureDomain {
		return 0
	}
	return float64(p.constants.DomainCost)
}

// member is an upstream with what the snapshot knows of it.
type member struct {
	*balancer.Upstream
	rtt float64
}

package spindle

import (
	"math"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// policy holds the group's averages, which are kept across snapshots.
type policy struct {
	constants Constants
	options   balancer.Options
	group     averages
}

// Update implements balancer.Policy.
func (p *policy) Update(members []*balancer.Upstream) balancer.Picker {
	pk := &picker{policy: p}
	for _, u := range members {
		pk.members = append(pk.members, member{Upstream: u, rtt: p.rtt(u), share: p.share(u)})
	}
	pk.home = p.preferHome(pk.members)
	return pk
}

// rtt returns the assumed round-trip time to u, in nanoseconds.
func (p *policy) rtt(u *balancer.Upstream) float64 {
	if p.options.FailureDomain == "" || u.FailureDomain == p.options.FailureDomain {
		return 0
	}
	return float64(p.constants.DomainCost)
}

// share returns the number of connections to u that this entry host may use.
func (p *policy) share(u *balancer.Upstream) int64 {
	if u.MaxConnections == 0 {
		return math.MaxInt64
	}
	return int64(max(u.MaxConnections/max(p.options.EntryHosts, 1), 1))
}

// member is an upstream with its properties in a snapshot.
type member struct {
	*balancer.Upstream
	rtt   float64 // assumed round-trip time, ns
	home  bool    // preferred by this entry host
	rank  uint64  // order among the members of one failure domain
	share int64   // connections that this entry host may use
}

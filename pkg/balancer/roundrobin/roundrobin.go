// Package roundrobin chooses the upstreams in turn. It is a baseline for
// comparisons.
package roundrobin

import (
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Name is the name in configuration documents.
const Name = "round-robin"

// Builder creates policies.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return Name }

// Build implements balancer.Builder. Entry hosts start at different members.
func (Builder) Build(o balancer.Options) balancer.Policy {
	p := &policy{}
	p.next.Store(uint64(o.Self))
	return p
}

// policy holds the position, which is kept across snapshots.
type policy struct {
	next atomic.Uint64
}

// Update implements balancer.Policy.
func (p *policy) Update(members []*balancer.Upstream) balancer.Picker {
	return &picker{policy: p, members: append([]*balancer.Upstream(nil), members...)}
}

type picker struct {
	policy  *policy
	members []*balancer.Upstream
}

// Pick returns the next eligible member.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	u := balancer.FirstEligible(p.members, p.policy.next.Add(1), info)
	if u == nil {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	return balancer.Result{Upstream: u, Reason: Name}, nil
}

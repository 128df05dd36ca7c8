// Package twochoices selects two upstreams at random and chooses the one with
// fewer requests in flight from this entry host. It is a baseline for comparisons.
package twochoices

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// Name is the name in configuration documents.
const Name = "two-choices"

// Builder creates policies.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return Name }

// Build implements balancer.Builder.
func (Builder) Build(balancer.Options) balancer.Policy { return policy{} }

type policy struct{}

// Update implements balancer.Policy.
func (policy) Update(members []*balancer.Upstream) balancer.Picker {
	return &picker{members: append([]*balancer.Upstream(nil), members...)}
}

type picker struct {
	members []*balancer.Upstream
}

// Pick compares two random eligible members.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	a, b := balancer.TwoEligible(p.members, info)
	switch {
	case a == nil:
		return balancer.Result{}, balancer.ErrNoUpstream
	case b != nil && b.Outstanding() < a.Outstanding():
		a = b
	}
	return balancer.Result{Upstream: a, Reason: Name}, nil
}

// Package random chooses among the upstreams with equal probability. It is a
// baseline for comparisons.
package random

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// Name is the name in configuration documents.
const Name = "random"

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

// Pick returns the first eligible member after a random index.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	u := balancer.FirstEligible(p.members, info.Random, info)
	if u == nil {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	return balancer.Result{Upstream: u, Reason: Name}, nil
}

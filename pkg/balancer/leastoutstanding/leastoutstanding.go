// Package leastoutstanding chooses the upstream with the fewest requests in
// flight from this entry host. It is a baseline for comparisons.
package leastoutstanding

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// Name is the name in configuration documents.
const Name = "least-outstanding"

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

// Pick scans from a random index, so that ties are broken evenly.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	n := len(p.members)
	if n == 0 {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	start := int(info.Random % uint64(n))
	var best *balancer.Upstream
	for i := range n {
		u := p.members[(start+i)%n]
		if info.Excludes(u) {
			continue
		}
		if best == nil || u.Outstanding() < best.Outstanding() {
			best = u
		}
	}
	if best == nil {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	return balancer.Result{Upstream: best, Reason: "least-outstanding"}, nil
}

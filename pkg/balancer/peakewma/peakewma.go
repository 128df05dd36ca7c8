// Package peakewma selects two upstreams at random and chooses the one with the
// lower product of peak latency and requests in flight from this entry host. It
// is a baseline for comparisons.
package peakewma

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Name is the name in configuration documents.
const Name = "peak-ewma"

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

// Pick compares the cost of two random eligible members.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	a, b := balancer.TwoEligible(p.members, info)
	switch {
	case a == nil:
		return balancer.Result{}, balancer.ErrNoUpstream
	case b != nil && cost(b, info.Now) < cost(a, info.Now):
		a = b
	}
	return balancer.Result{Upstream: a, Reason: Name}, nil
}

func cost(u *balancer.Upstream, now time.Time) float64 {
	return float64(u.PeakLatency(now)) * float64(u.Outstanding()+1)
}

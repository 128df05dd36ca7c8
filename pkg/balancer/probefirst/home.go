package probefirst

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// HomeSize is the number of upstreams in the own failure domain that a host asks
// before the others there. Among many, each is met so seldom that every question
// would need a new connection: 473 hosts with 16 to 74 upstreams of a service in their
// domain made 26,500 connections in 30 seconds with twelve, 20,000 with eight and
// 16,000 with six; with six, some upstreams are in nobody's set where 40 hosts share 60.
const HomeSize = 8

// splitHome divides the upstreams of the own failure domain into those that this
// host prefers and the others. The preference differs from host to host
// (rendezvous hashing), so that all upstreams are somebody's, and a change of
// membership moves few.
func splitHome(host string, near []*balancer.Upstream) (home, rest []*balancer.Upstream) {
	if len(near) <= HomeSize {
		return near, nil
	}
	ranked := slices.Clone(near)
	slices.SortFunc(ranked, func(a, b *balancer.Upstream) int {
		return cmp.Compare(xxhash.Sum64String(host+a.ID), xxhash.Sum64String(host+b.ID))
	})
	return ranked[:HomeSize], ranked[HomeSize:]
}

package configsync

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// neighbours are the peers to which a host initiates messages. Their number is
// bounded, so that the cost per host does not grow with the fleet.
type neighbours struct {
	inside, outside []string
}

// chooseNeighbours selects peers by rendezvous hashing. The selections of all
// hosts together form a random graph, which is connected with high probability
// at the default sizes.
func chooseNeighbours(opt Options, members []Member) neighbours {
	ranked := rank(members, opt.Self.Address)
	var out neighbours
	for _, m := range ranked {
		if m.FailureDomain == opt.Self.FailureDomain {
			out.inside = append(out.inside, m.Address)
			continue
		}
		out.outside = append(out.outside, m.Address)
	}
	out.inside = out.inside[:min(len(out.inside), opt.NeighboursInside)]
	out.outside = out.outside[:min(len(out.outside), opt.NeighboursOutside)]
	return out
}

// others returns the members other than self.
func others(members []Member, self string) []Member {
	var out []Member
	for _, m := range members {
		if m.Address != self {
			out = append(out, m)
		}
	}
	return out
}

// rank orders members by a hash of salt and their address, highest first.
func rank(members []Member, salt string) []Member {
	type scored struct {
		Member
		score uint64
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		list = append(list, scored{m, xxhash.Sum64String(salt + "|" + m.Address)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Address, b.Address))
	})
	out := make([]Member, 0, len(list))
	for _, s := range list {
		out = append(out, s.Member)
	}
	return out
}

// pick returns random neighbours: at most inside from the host's own failure
// domain and outside from others.
func (p neighbours) pick(r *rand.Rand, inside, outside int) []string {
	return append(sample(r, p.inside, inside), sample(r, p.outside, outside)...)
}

// pickOne returns one random neighbour.
func (p neighbours) pickOne(r *rand.Rand) (string, bool) {
	total := len(p.inside) + len(p.outside)
	if total == 0 {
		return "", false
	}
	i := r.IntN(total)
	if i < len(p.inside) {
		return p.inside[i], true
	}
	return p.outside[i-len(p.inside)], true
}

func sample(r *rand.Rand, from []string, count int) []string {
	var out []string
	for _, i := range r.Perm(len(from))[:min(count, len(from))] {
		out = append(out, from[i])
	}
	return out
}

// isReader reports whether self is one of the hosts of its failure domain that
// watch the platform. Hosts with the same member list agree on the readers. A
// disagreement affects only the number of calls, not correctness.
func isReader(opt Options, members []Member) bool {
	domain := []Member{opt.Self}
	for _, m := range members {
		if m.FailureDomain == opt.Self.FailureDomain {
			domain = append(domain, m)
		}
	}
	first := rank(domain, "reader")
	first = first[:min(len(first), opt.ReadersPerDomain)]
	return slices.Contains(first, opt.Self)
}

// interleaveDomains orders members round-robin over the failure domains, starting
// with the domain of self, where latency is lowest.
func interleaveDomains(opt Options, members []Member) []Member {
	ranked := rank(members, opt.Self.Address)
	seen := make(map[string]int)
	position := make(map[string]int, len(ranked))
	for _, m := range ranked {
		position[m.Address] = seen[m.FailureDomain]
		seen[m.FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(position[a.Address], position[b.Address]), cmp.Compare(domainDistance(opt, a), domainDistance(opt, b)))
	})
	return ranked
}

func domainDistance(opt Options, m Member) int {
	if m.FailureDomain == opt.Self.FailureDomain {
		return 0
	}
	return 1
}

package configsync

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// neighbours are the peers that a host talks to of its own accord. Their
// number is bounded, so that the cost of a host does not grow with the fleet.
type neighbours struct {
	inside, outside []string
}

// chooseNeighbours takes the peers that rank first by a hash of the pair. The
// choices of all hosts together form a random graph, which is connected with
// high probability at the default sizes.
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

// others returns the members without self.
func others(members []Member, self string) []Member {
	var out []Member
	for _, m := range members {
		if m.Address != self {
			out = append(out, m)
		}
	}
	return out
}

// rank orders members by a hash of their address and salt, the highest first.
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

// pick returns random neighbours, up to inside of the own failure domain and
// outside of others.
func (p neighbours) pick(r *rand.Rand, inside, outside int) []string {
	return append(sample(r, p.inside, inside), sample(r, p.outside, outside)...)
}

// one returns one random neighbour.
func (p neighbours) one(r *rand.Rand) (string, bool) {
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
// watch the platform. Every host with the same list answers alike. Only the
// number of calls rests on it.
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

// spread orders members so that each failure domain comes in turn, beginning
// with self's, where answers are nearest.
func spread(opt Options, members []Member) []Member {
	ranked := rank(members, opt.Self.Address)
	seen := make(map[string]int)
	turn := make(map[string]int, len(ranked))
	for _, m := range ranked {
		turn[m.Address] = seen[m.FailureDomain]
		seen[m.FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(turn[a.Address], turn[b.Address]), cmp.Compare(distance(opt, a), distance(opt, b)))
	})
	return ranked
}

func distance(opt Options, m Member) int {
	if m.FailureDomain == opt.Self.FailureDomain {
		return 0
	}
	return 1
}

// Package rendezvous chooses members by highest random weight: every host
// with the same view makes the same choice, and when one member goes, only the
// choices that fell on it change.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// PerDomain returns up to n usable members of each failure domain for key,
// by domain, the preferred ones of a domain first. Views differ between hosts,
// so choices may too: no two hosts may rely on choosing alike.
func PerDomain(key string, members []membership.Member, n int) []membership.Member {
	ranked := rank(key, members)
	taken := make(map[string]int)
	var out []membership.Member
	for _, r := range ranked {
		if taken[r.member.FailureDomain] == n {
			continue
		}
		taken[r.member.FailureDomain]++
		out = append(out, *r.member)
	}
	return out
}

type weighted struct {
	member *membership.Member
	weight uint64
}

// rank orders the usable members by domain, then by falling weight.
func rank(key string, members []membership.Member) []weighted {
	var out []weighted
	for i := range members {
		if m := &members[i]; m.Usable() {
			out = append(out, weighted{m, weight(key, m)})
		}
	}
	slices.SortFunc(out, func(a, b weighted) int {
		return cmp.Or(
			cmp.Compare(a.member.FailureDomain, b.member.FailureDomain),
			cmp.Compare(b.weight, a.weight),
			a.member.Address.Compare(b.member.Address),
		)
	})
	return out
}

func weight(key string, m *membership.Member) uint64 {
	ip := m.Address.Addr().As16()
	b := make([]byte, 0, len(key)+len(ip)+2)
	b = append(b, key...)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, m.Address.Port())
	return xxhash.Sum64(b)
}

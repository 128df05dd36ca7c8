// Package rendezvous selects members by rendezvous (highest random weight)
// hashing: every host with the same view makes the same selection, and when one
// member leaves, only the keys that were mapped to it move.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// PerDomain returns up to n usable members of each failure domain for key,
// grouped by domain, those with the highest weight first. Views differ between
// hosts, so selections may differ too: no host may rely on another making the
// same selection.
func PerDomain(key string, members []membership.Member, n int) []membership.Member {
	ranked := rank(key, members)
	selected := make(map[string]int)
	var out []membership.Member
	for _, r := range ranked {
		if selected[r.member.FailureDomain] == n {
			continue
		}
		selected[r.member.FailureDomain]++
		out = append(out, *r.member)
	}
	return out
}

// First returns the usable member with the highest weight for key, and false if no member is
// usable. It takes linear time and does not consider failure domains.
func First(key string, members []membership.Member) (membership.Member, bool) {
	var best *membership.Member
	var highest uint64
	for i := range members {
		m := &members[i]
		if !m.Usable() {
			continue
		}
		w := weight(key, m)
		if best == nil || w > highest || w == highest && m.Address.Compare(best.Address) < 0 {
			best, highest = m, w
		}
	}
	if best == nil {
		return membership.Member{}, false
	}
	return *best, true
}

type weighted struct {
	member *membership.Member
	weight uint64
}

// rank sorts the usable members by domain, then by descending weight.
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

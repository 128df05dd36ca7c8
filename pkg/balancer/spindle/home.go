package spindle

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// preferHome puts the members that this entry host prefers first and returns
// their number: those of its own failure domain, in an order that differs from
// host to host (rendezvous hashing), so that a change of membership moves few
// preferences.
func (p *policy) preferHome(members []member) int {
	self := strconv.Itoa(p.options.Self) + "/"
	for i := range members {
		members[i].rank = xxhash.Sum64String(self + members[i].ID)
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.rtt, b.rtt), cmp.Compare(a.rank, b.rank))
	})
	home := min(int(p.constants.HomeSize), len(members))
	for i := range home {
		members[i].home = true
	}
	return home
}

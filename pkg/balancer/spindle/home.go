package spindle

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// preferHome moves the members that this entry host prefers to the front and returns their
// number. Members in the local failure domain come first, in an order that differs between
// hosts (rendezvous hashing), so that a membership change affects few preferences.
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

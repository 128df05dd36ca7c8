package spindle

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// markHome marks the members that this entry host prefers: those of its own
// failure domain first, in an order that differs from host to host
// (rendezvous hashing), so that a change of membership moves few preferences.
func (p *policy) markHome(members []member) {
	size := int(p.constants.HomeSize)
	if size >= len(members) {
		size = len(members)
	}
	order := make([]int, len(members))
	score := make([]uint64, len(members))
	self := strconv.Itoa(p.options.Self) + "/"
	for i := range members {
		order[i] = i
		score[i] = xxhash.Sum64String(self + members[i].ID)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(members[a].rtt, members[b].rtt), cmp.Compare(score[a], score[b]))
	})
	for _, i := range order[:size] {
		members[i].home = true
	}
}

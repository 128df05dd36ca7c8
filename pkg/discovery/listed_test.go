package discovery

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestListsHoldWhatIsThere compares the index of services with a scan of all entries, over random
// updates: new entries, restarts, moves between services, removals and recoveries.
func TestListsHoldWhatIsThere(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	s := newSet()
	now := start
	for revision := range uint64(5000) {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		u := entryOf(fmt.Sprintf("i-%d", random.IntN(40)), revision+1)
		u.Service = string(rune('a' + random.IntN(3)))
		u.Born = int64(random.IntN(3))
		u.Draining = random.IntN(10) == 0
		switch random.IntN(12) {
		case 0, 1, 2:
			s.Remove(now, u.ID, revision+1)
		case 3:
			s.StoreRecovered(now)
		case 4:
			s.Tick(now)
		case 5:
			s.Replace(now, []Upstream{u}, revision+1)
		default:
			s.Put(now, u)
		}
		for _, service := range []string{"a", "b", "c"} {
			is.Equal(s.Upstreams(service), scanEntries(s, service))
		}
	}
}

func scanEntries(s *Set, service string) []Upstream {
	var out []Upstream
	for _, e := range s.entries {
		if !e.removed && e.upstream.Service == service {
			out = append(out, e.upstream)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

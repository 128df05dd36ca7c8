package probefirst

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

func members(n int) []*balancer.Upstream {
	var out []*balancer.Upstream
	for i := range n {
		out = append(out, &balancer.Upstream{ID: fmt.Sprint("i-", i), FailureDomain: "here", Slots: 3})
	}
	return out
}

// TestHomeIsSharedOut checks that every upstream is in the home set of some host, and that
// the loss of one upstream replaces at most that one in a home set.
func TestHomeIsSharedOut(t *testing.T) {
	is := is.New(t)
	all := members(60)
	preferred := make(map[string]int)
	for host := range 40 {
		name := fmt.Sprint("10.0.0.", host)
		home, others := splitHome(name, all)
		is.Equal(len(home), HomeSize)
		is.Equal(len(others), len(all)-HomeSize)
		for _, u := range home {
			preferred[u.ID]++
		}
		fewer, _ := splitHome(name, all[1:])
		kept := 0
		for _, u := range fewer {
			for _, old := range home {
				if u == old {
					kept++
				}
			}
		}
		is.True(kept >= HomeSize-1)
	}
	is.Equal(len(preferred), len(all))
}

func TestSmallGroupIsAllHome(t *testing.T) {
	is := is.New(t)
	home, others := splitHome("10.0.0.1", members(HomeSize))
	is.Equal(len(home), HomeSize)
	is.Equal(len(others), 0)
}

// TestHomeIsQueriedFirst checks the order of queries: the home set, the other local
// upstreams, then those in other failure domains.
func TestHomeIsQueriedFirst(t *testing.T) {
	is := is.New(t)
	local := members(HomeSize + 2)
	remote := &balancer.Upstream{ID: "far", FailureDomain: "there", Slots: 3}
	policy := Builder{}.Build(balancer.Options{Host: "10.0.0.1", FailureDomain: "here"})
	p := policy.Update(append(local, remote)).(*picker)
	info := balancer.PickInfo{Now: start, Random: 7}
	var order []*balancer.Upstream
	for range len(local) + 1 {
		targets := p.QueryTargets(info, 0)
		is.Equal(len(targets), QueriesPerRound)
		order = append(order, targets[0])
		// It reports that it is slow, so that the next one is queried.
		balancer.FinishProbe(p, targets[0], balancer.Feedback{Now: start, Report: balancer.Report{Valid: true, Slots: 3, Slowdown: 5}})
	}
	home := make(map[*balancer.Upstream]bool)
	for _, u := range p.home {
		home[u] = true
	}
	for i, u := range order {
		is.Equal(home[u], i < HomeSize)
	}
	is.Equal(order[len(local)], remote)
}

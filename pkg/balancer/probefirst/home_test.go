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

// TestHomeIsSharedOut: every upstream is preferred by some host, and the loss of
// one upstream moves no other preference than its own.
func TestHomeIsSharedOut(t *testing.T) {
	is := is.New(t)
	all := members(60)
	preferred := make(map[string]int)
	for host := range 40 {
		name := fmt.Sprint("10.0.0.", host)
		home, rest := splitHome(name, all)
		is.Equal(len(home), HomeSize)
		is.Equal(len(rest), len(all)-HomeSize)
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
	home, rest := splitHome("10.0.0.1", members(HomeSize))
	is.Equal(len(home), HomeSize)
	is.Equal(len(rest), 0)
}

// TestHomeIsAskedFirst and then the others, before those farther away.
func TestHomeIsAskedFirst(t *testing.T) {
	is := is.New(t)
	near := members(HomeSize + 2)
	far := &balancer.Upstream{ID: "far", FailureDomain: "there", Slots: 3}
	policy := Builder{}.Build(balancer.Options{Host: "10.0.0.1", FailureDomain: "here"})
	p := policy.Update(append(near, far)).(*picker)
	info := balancer.PickInfo{Now: start, Random: 7}
	var order []*balancer.Upstream
	for range len(near) + 1 {
		asked := p.QueryTargets(info, 0)
		is.Equal(len(asked), QueriesPerRound)
		order = append(order, asked[0])
		// It says that it is slow, so that the next one is asked.
		balancer.FinishProbe(p, asked[0], balancer.Feedback{Now: start, Report: balancer.Report{Valid: true, Slots: 3, Slowdown: 5}})
	}
	home := make(map[*balancer.Upstream]bool)
	for _, u := range p.home {
		home[u] = true
	}
	for i, u := range order {
		is.Equal(home[u], i < HomeSize)
	}
	is.Equal(order[len(near)], far)
}

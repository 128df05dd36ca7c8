package balancer_test

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// A program that embeds a policy keeps the state of its upstreams, publishes the
// picker that Update returns, and reports the end of each request.
func Example() {
	a := &balancer.Upstream{ID: "a", Address: "10.0.0.1:8080", FailureDomain: "hanoi", Slots: 3}
	b := &balancer.Upstream{ID: "b", Address: "10.0.0.2:8080", FailureDomain: "bac-ninh", Slots: 3}
	policy := spindle.Builder{}.Build(balancer.Options{
		Self:          0,
		EntryHosts:    13,
		FailureDomain: "hanoi",
	})
	picker := policy.Update([]*balancer.Upstream{a, b})

	now := time.Unix(1000, 0)
	first, err := picker.Pick(balancer.PickInfo{Now: now, Random: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("first:", first.Upstream.ID, first.Reason)

	call := first.Upstream.Begin(now)
	balancer.Finish(picker, call, balancer.Feedback{
		Now:     now.Add(2 * time.Millisecond),
		Latency: 2 * time.Millisecond,
		Outcome: balancer.Failed,
	})

	second, err := picker.Pick(balancer.PickInfo{
		Now:     now.Add(2 * time.Millisecond),
		Random:  2,
		Exclude: []*balancer.Upstream{first.Upstream},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("second:", second.Upstream.ID, second.Reason)

	// Output:
	// first: a free-slot
	// second: b free-slot
}

package probebudget_test

import (
	"fmt"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

func ExampleBudget() {
	plan := probebudget.Plan{MaxHosts: 24, Slots: 3, SlotTimePercent: 1, Cost: 6 * time.Millisecond}
	start := time.Unix(1000, 0)
	b := probebudget.New()
	_ = b.Configure(start, "caruaru-3", plan)
	_, early := b.Take(start.Add(time.Second), "caruaru-3")
	grant, ok := b.Take(start.Add(5*time.Second), "caruaru-3")
	b.Settle(start.Add(5*time.Second+4*time.Millisecond), grant, 4*time.Millisecond, probebudget.Answered)
	fmt.Println(plan.Window(), early, ok, b.Counters("caruaru-3").Spent)
	// Output: 4.8s false true 6ms
}

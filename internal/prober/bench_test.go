package prober

import (
	"fmt"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

func manyTargets(n int, percent float64) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{Upstream: fmt.Sprint(i), Address: fmt.Sprint("upstream-", i), Via: fmt.Sprint("upstream-", i), Plan: probebudget.Plan{
			MaxHosts: 32, Slots: 3, SlotTimePercent: percent, Cost: 6 * time.Millisecond, MaxLateness: time.Second,
		}}
	}
	return out
}

func eachFleet(b *testing.B, run func(b *testing.B, p *Prober, targets []Target)) {
	for _, percent := range []float64{0, 1} {
		for _, n := range []int{366, 3659, 15000} {
			b.Run(fmt.Sprintf("percent=%v/upstreams=%d", percent, n), func(b *testing.B) {
				p, targets := New(Config{Events: event.Discard{}, ReportTTL: time.Second}), manyTargets(n, percent)
				p.SetTargets(targets)
				b.ReportAllocs()
				run(b, p, targets)
			})
		}
	}
}

// BenchmarkPoll measures one search for an upstream to probe, which Run makes every
// pollInterval. All upstreams are always due, which is the most expensive case.
func BenchmarkPoll(b *testing.B) {
	eachFleet(b, func(b *testing.B, p *Prober, _ []Target) {
		now := time.Now().Add(time.Hour)
		for b.Loop() {
			now = now.Add(pollInterval)
			if _, g, ok := p.next(now); ok {
				p.budget.Settle(now, g, g.Cost, probebudget.Answered)
			}
		}
	})
}

// BenchmarkSetTargets measures a configuration change that leaves the upstreams
// unchanged.
func BenchmarkSetTargets(b *testing.B) {
	eachFleet(b, func(b *testing.B, p *Prober, targets []Target) {
		for b.Loop() {
			p.SetTargets(targets)
		}
	})
}

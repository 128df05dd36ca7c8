package probebudget

import (
	"testing"
	"time"
)

// BenchmarkTakeSettle measures the accounting of one probe.
func BenchmarkTakeSettle(b *testing.B) {
	now := time.Unix(1000, 0)
	budget := New()
	if err := budget.Configure(now, testUpstream, testPlan); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		g, ok := budget.Take(now, testUpstream)
		if !ok || !budget.Settle(now, g, 0, Answered) {
			b.Fatal("no grant")
		}
	}
}

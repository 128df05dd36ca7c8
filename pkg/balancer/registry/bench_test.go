package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
)

// BenchmarkPick measures one choice in a group where every upstream has reported
// its load.
func BenchmarkPick(b *testing.B) {
	for _, name := range registry.Names() {
		for _, size := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchmarkPick(b, name, size) })
		}
	}
}

func benchmarkPick(b *testing.B, name string, size int) {
	builder, err := registry.Lookup(name)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1, 0)
	var group []*balancer.Upstream
	for i := range size {
		group = append(group, &balancer.Upstream{ID: fmt.Sprint(i), Slots: 3})
	}
	p := builder.Build(balancer.Options{EntryHosts: 16}).Update(group)
	for _, u := range group {
		balancer.Finish(p, u.Begin(now), balancer.Feedback{
			Now:     now.Add(time.Millisecond),
			Latency: time.Millisecond,
			Report:  balancer.Report{Valid: true, InFlight: 2},
		})
	}
	info := balancer.PickInfo{Now: now.Add(2 * time.Millisecond)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		info.Random = balancer.Mix(uint64(i))
		if _, err := p.Pick(info); err != nil {
			b.Fatal(err)
		}
	}
}

package probefirst

import (
	"fmt"
	"testing"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// BenchmarkChoice measures the selection of the query targets and the choice: one member
// in ten has a fresh report.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{10, 300} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			list := members(n)
			for i := 0; i < n; i += 10 {
				reportLoad(list[i], start, 1, 1)
			}
			p := pickerOf(list...)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				info := balancer.PickInfo{Now: start, Random: uint64(i)}
				p.QueryTargets(info, 0)
				if _, err := p.Pick(info); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

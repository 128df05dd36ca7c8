package metrics

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// BenchmarkMemory measures the heap that the metrics use once every service has a latency
// histogram.
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{10, 100, 410} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := New()
				for i := range services {
					s.Emit(event.Event{Code: event.RequestAnswered, Service: fmt.Sprint(i), Elapsed: time.Millisecond})
				}
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				names := 0
				s.Registry().Each(func(string, any) { names++ })
				b.ReportMetric(float64(names), "metrics")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

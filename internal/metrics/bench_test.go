package metrics

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

func benchmarkEmit(b *testing.B, code event.Code) {
	s := New()
	e := event.Event{Code: code, Service: "catalogue", Value: 200, Elapsed: 1500 * time.Microsecond}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Emit(e)
		}
	})
}

func BenchmarkEmitChosen(b *testing.B)   { benchmarkEmit(b, event.UpstreamChosen) }
func BenchmarkEmitAnswered(b *testing.B) { benchmarkEmit(b, event.RequestAnswered) }

func benchmarkSample(b *testing.B, s gometrics.Sample) {
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Update(1500)
		}
	})
}

func BenchmarkUniformSample(b *testing.B) { benchmarkSample(b, gometrics.NewUniformSample(sampleSize)) }
func BenchmarkWindow(b *testing.B)        { benchmarkSample(b, new(window)) }
func BenchmarkDecayingSample(b *testing.B) {
	benchmarkSample(b, gometrics.NewExpDecaySample(sampleSize, 0.015))
}

package spindle

import (
	"math"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// defaultService is the expected service time before the first answer, in nanoseconds.
const defaultService = 5e6

// averages are moving averages over the answers of the whole group.
type averages struct {
	constants *Constants
	quick     atomicFloat // low quantile of the answer times, ns
	others    atomicFloat // requests of other entry hosts per upstream
}

// service is the expected service time in nanoseconds.
func (a *averages) service() float64 {
	if v := a.quick.load(); v > 0 {
		return v * a.constants.ServiceScale
	}
	return defaultService
}

func (a *averages) observe(u *balancer.Upstream, f balancer.Feedback, rtt float64) {
	if f.Outcome == balancer.Answered && f.Latency > 0 {
		sample := max(float64(f.Latency)-rtt, 1) / queued(u, f.Report)
		a.quick.track(sample, a.constants.ServiceQuantile, a.constants.QuantileStep)
	}
	if n, _, ok := u.RemoteInFlight(f.Now); ok && f.Report.Valid {
		a.others.blend(float64(n), 1/a.constants.AverageSamples)
	}
}

// queued is the factor by which the reported queue lengthens an answer. It
// keeps overload from passing for a long service time.
func queued(u *balancer.Upstream, r balancer.Report) float64 {
	if !r.Valid || u.Slots <= 0 {
		return 1
	}
	return 1 + max(float64(r.InFlight+1-u.Slots), 0)/float64(u.Slots)
}

// atomicFloat is a float64 that goroutines share. A lost sample is harmless.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

// blend moves the mean towards a sample by its weight.
func (f *atomicFloat) blend(sample, weight float64) {
	old := f.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = sample
	}
	f.bits.CompareAndSwap(old, math.Float64bits(mean+(sample-mean)*weight))
}

// track moves the tracked quantile by a step, so that it settles where the
// steps up and down balance.
func (f *atomicFloat) track(sample, quantile, step float64) {
	old := f.bits.Load()
	q := math.Float64frombits(old)
	switch {
	case old == 0:
		q = sample / 2
	case sample < q:
		q *= 1 - step*(1-quantile)
	default:
		q *= 1 + step*quantile
	}
	f.bits.CompareAndSwap(old, math.Float64bits(q))
}

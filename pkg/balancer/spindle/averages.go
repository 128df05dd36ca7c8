package spindle

import (
	"math"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// defaultService is the expected service time before the first response, in nanoseconds.
const defaultService = 5e6

// averages are moving averages over the responses of the whole group.
type averages struct {
	constants       *Constants
	serviceQuantile atomicFloat // low quantile of the response times, ns
	remoteLoad      atomicFloat // mean requests of other entry hosts per upstream
}

// service returns the expected service time in nanoseconds.
func (a *averages) service() float64 {
	if v := a.serviceQuantile.load(); v > 0 {
		return v * a.constants.ServiceScale
	}
	return defaultService
}

func (a *averages) observe(u *balancer.Upstream, f balancer.Feedback, rtt float64) {
	if f.Outcome == balancer.Answered && f.Latency > 0 {
		sample := max(float64(f.Latency)-rtt, 1) / queueFactor(u, f.Report)
		a.serviceQuantile.track(sample, a.constants.ServiceQuantile, a.constants.QuantileStep)
	}
	if n, _, ok := u.RemoteInFlight(f.Now); ok && f.Report.Valid {
		a.remoteLoad.blend(float64(n), 1/a.constants.AverageSamples)
	}
}

// queueFactor returns the factor by which the reported queue increases the response time.
// Without it, queueing under overload would be taken for a longer service time.
func queueFactor(u *balancer.Upstream, r balancer.Report) float64 {
	if !r.Valid || u.Slots <= 0 {
		return 1
	}
	return 1 + max(float64(r.InFlight+1-u.Slots), 0)/float64(u.Slots)
}

// atomicFloat is a float64 for concurrent use. A concurrent sample may be lost, which is
// harmless.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

// blend adds a sample to the mean with the given weight.
func (f *atomicFloat) blend(sample, weight float64) {
	old := f.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = sample
	}
	f.bits.CompareAndSwap(old, math.Float64bits(mean+(sample-mean)*weight))
}

// track moves the tracked quantile by one step towards a sample. The sizes of the steps
// up and down make it converge to the quantile.
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

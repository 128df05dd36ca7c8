package spindle

import (
	"math"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

const (
	// averageSamples is the number of answers over which group averages decay.
	averageSamples = 64
	// defaultService is the expected service time before the first answer, in nanoseconds.
	defaultService = 5e6
	// serviceQuantile is the quantile of the answer times that is tracked: a low
	// one, since fast answers did not wait in the upstream's queue.
	serviceQuantile = 0.25
	// quantileStep is the relative change of the tracked quantile by one answer.
	quantileStep = 0.05
	// serviceScale relates the quantile to the mean of a typical service time
	// distribution (log-normal with shape 1).
	serviceScale = 3.2
)

// averages are moving averages over the answers of the whole group.
type averages struct {
	quick  atomicFloat // low quantile of the answer times, ns
	others atomicFloat // requests of other entry hosts per upstream
}

// service is the expected service time in nanoseconds.
func (a *averages) service() float64 {
	if v := a.quick.load(); v > 0 {
		return v * serviceScale
	}
	return defaultService
}

func (a *averages) observe(u *balancer.Upstream, f balancer.Feedback, rtt float64) {
	if f.Outcome == balancer.Answered && f.Latency > 0 {
		a.quick.track(max(float64(f.Latency)-rtt, 1) / queued(u, f.Report))
	}
	if n, _, ok := u.Others(f.Now); ok && f.Report.Valid {
		a.others.blend(float64(n))
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

// blend moves the mean towards a sample.
func (f *atomicFloat) blend(sample float64) {
	old := f.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = sample
	}
	f.bits.CompareAndSwap(old, math.Float64bits(mean+(sample-mean)/averageSamples))
}

// track moves the tracked quantile by a step, so that it settles where the
// steps up and down balance.
func (f *atomicFloat) track(sample float64) {
	old := f.bits.Load()
	q := math.Float64frombits(old)
	switch {
	case old == 0:
		q = sample / 2
	case sample < q:
		q *= 1 - quantileStep*(1-serviceQuantile)
	default:
		q *= 1 + quantileStep*serviceQuantile
	}
	f.bits.CompareAndSwap(old, math.Float64bits(q))
}

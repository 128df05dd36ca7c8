package spindle

import (
	"math"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

const (
	// averageSamples is the number of answers over which group averages decay.
	averageSamples = 64
	// defaultAnswer is the expected answer time before the first answer, in nanoseconds.
	defaultAnswer = 5e6
)

// averages are moving averages over the answers of the whole group.
type averages struct {
	answer atomicFloat // answer time without the way to other domains, ns
	others atomicFloat // requests of other entry hosts per upstream
}

func (a *averages) expected() float64 {
	if v := a.answer.load(); v > 0 {
		return v
	}
	return defaultAnswer
}

func (a *averages) observe(u *balancer.Upstream, f balancer.Feedback, rtt float64) {
	if f.Outcome == balancer.Answered && f.Latency > 0 {
		a.answer.blend(max(float64(f.Latency)-rtt, 1))
	}
	if n, _, ok := u.Others(f.Now); ok && f.Report.Valid {
		a.others.blend(float64(n))
	}
}

// atomicFloat is a float64 that goroutines share. A lost sample is harmless.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

func (f *atomicFloat) blend(sample float64) {
	old := f.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = sample
	}
	f.bits.CompareAndSwap(old, math.Float64bits(mean+(sample-mean)/averageSamples))
}

package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

// ewma is an exponentially weighted moving average over time. Of concurrent samples
// some may be lost, which only makes the average less precise.
type ewma struct {
	mean atomic.Int64 // ns
	at   atomic.Int64 // Unix time in ns of the last sample, 0 if none
}

func (e *ewma) add(now time.Time, sample time.Duration) {
	e.blend(now, sample)
}

// addPeak adds a sample, which replaces the average if it exceeds the decayed average.
func (e *ewma) addPeak(now time.Time, sample time.Duration) {
	mean, age := e.value(now)
	if float64(sample) > float64(mean)*weight(age) {
		e.mean.Store(int64(sample))
		e.at.Store(now.UnixNano())
		return
	}
	e.blend(now, sample)
}

func (e *ewma) blend(now time.Time, sample time.Duration) {
	mean, age := e.value(now)
	if e.at.Load() == 0 {
		mean = sample
	}
	w := weight(age)
	e.mean.Store(int64(float64(mean)*w + float64(sample)*(1-w)))
	e.at.Store(now.UnixNano())
}

func (e *ewma) value(now time.Time) (mean, age time.Duration) {
	at := e.at.Load()
	if at == 0 {
		return 0, 0
	}
	return time.Duration(e.mean.Load()), max(time.Duration(now.UnixNano()-at), 0)
}

func weight(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(LatencyDecay))
}

// blendOver adds a sample, weighted by the time since the last one: after decay the
// old average has lost 63% of its weight. A sample has a weight of at least a
// quarter, so that consecutive samples count even if no time has passed between them.
func (e *ewma) blendOver(now time.Time, sample, decay time.Duration) {
	mean, age := e.value(now)
	w := min(math.Exp(-float64(age)/float64(decay)), maxBlendWeight)
	e.mean.Store(int64(float64(mean)*w + float64(sample)*(1-w)))
	e.at.Store(now.UnixNano())
}

// maxBlendWeight is the maximum weight of the old average in blendOver.
const maxBlendWeight = 0.75

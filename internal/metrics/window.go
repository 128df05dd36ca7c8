package metrics

import (
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// window is a gometrics.Sample of the newest sampleSize values. The library's own samples
// take a lock on each update, and its uniform sample covers the whole lifetime of the
// process, which hides a current spike.
type window struct {
	count  atomic.Int64
	values [sampleSize]atomic.Int64
}

// Update adds a value and overwrites the oldest one.
func (w *window) Update(v int64) {
	index := w.count.Add(1) - 1
	w.values[index%sampleSize].Store(v)
}

// Values returns a copy of the values held.
func (w *window) Values() []int64 {
	out := make([]int64, w.Size())
	for i := range out {
		out[i] = w.values[i].Load()
	}
	return out
}

// Snapshot returns a snapshot of the current values.
func (w *window) Snapshot() gometrics.Sample {
	return gometrics.NewSampleSnapshot(w.count.Load(), w.Values())
}

// Clear discards all values.
func (w *window) Clear() { w.count.Store(0) }

// Count returns the number of values added since the start.
func (w *window) Count() int64 { return w.count.Load() }

// Size returns the number of values held.
func (w *window) Size() int { return int(min(w.count.Load(), sampleSize)) }

// Max returns the largest value held.
func (w *window) Max() int64 { return w.Snapshot().Max() }

// Min returns the smallest value held.
func (w *window) Min() int64 { return w.Snapshot().Min() }

// Mean returns the mean of the values held.
func (w *window) Mean() float64 { return w.Snapshot().Mean() }

// Sum returns the sum of the values held.
func (w *window) Sum() int64 { return w.Snapshot().Sum() }

// StdDev returns the standard deviation of the values held.
func (w *window) StdDev() float64 { return w.Snapshot().StdDev() }

// Variance returns the variance of the values held.
func (w *window) Variance() float64 { return w.Snapshot().Variance() }

// Percentile returns a quantile, from 0 to 1, of the values held.
func (w *window) Percentile(p float64) float64 { return w.Snapshot().Percentile(p) }

// Percentiles returns several quantiles of the values held.
func (w *window) Percentiles(ps []float64) []float64 { return w.Snapshot().Percentiles(ps) }

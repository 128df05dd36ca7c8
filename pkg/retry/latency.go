package retry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBuckets is the number of buckets per doubling of latency, so that the relative
	// error is at most 1/8.
	subBuckets = 8
	// doublings is the number of doublings covered: 1 microsecond to about 2 minutes.
	doublings = 27
	buckets   = subBuckets * doublings
	// latencyWindow is the total weight of samples at which all weights are halved.
	latencyWindow = 2048
	// MinSamples is the minimum number of samples for an estimate.
	MinSamples = 64
)

// Latency estimates quantiles of recent latencies with a histogram of logarithmic buckets.
// Whenever the total weight reaches 2048 samples, all weights are halved. The zero value is
// ready to use.
type Latency struct {
	counts [buckets]atomic.Int64
	total  atomic.Int64
}

// Observe records one latency.
func (l *Latency) Observe(d time.Duration) {
	l.counts[bucketOf(d)].Add(1)
	if l.total.Add(1) == latencyWindow {
		l.decay()
	}
}

// decay halves all counts. Samples that are observed concurrently are not lost.
func (l *Latency) decay() {
	removed := int64(0)
	for i := range l.counts {
		half := l.counts[i].Load() / 2
		l.counts[i].Add(-half)
		removed += half
	}
	l.total.Add(-removed)
}

// Quantile returns an upper bound of the q-quantile (0 < q < 1), or 0 when
// fewer than MinSamples were observed.
func (l *Latency) Quantile(q float64) time.Duration {
	total := l.total.Load()
	if total < MinSamples {
		return 0
	}
	rank := int64(q * float64(total))
	seen := int64(0)
	for i := range l.counts {
		seen += l.counts[i].Load()
		if seen > rank {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

// bucketOf maps a latency to its bucket. The first bucket of a doubling starts
// at a power of two microseconds.
func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1))
	doubling := bits.Len64(us) - 1
	if doubling >= doublings {
		return buckets - 1
	}
	sub := (us - 1<<doubling) * subBuckets >> doubling
	return doubling*subBuckets + int(sub)
}

func upperBound(bucket int) time.Duration {
	start := time.Microsecond << (bucket / subBuckets)
	return start + start*time.Duration(bucket%subBuckets+1)/subBuckets
}

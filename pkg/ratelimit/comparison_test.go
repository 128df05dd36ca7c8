package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bucket is a token bucket by which a host limits what it sends to one upstream.
type bucket struct {
	perSecond, burst, tokens float64
	at                       time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// bucketExcess returns by how many requests an upstream exceeds what it tolerates, at most, if
// each host has a token bucket, was idle for a while and then has requests waiting.
func bucketExcess(hosts int, perSecond, each, burst float64) int {
	var times []time.Time
	buckets := make([]bucket, hosts)
	for i := range buckets {
		buckets[i] = bucket{perSecond: each, burst: burst, tokens: burst, at: epoch}
	}
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(step) {
		for i := range buckets {
			if buckets[i].take(now) {
				times = append(times, now)
			}
		}
	}
	return maxInWindow(times) - allowed(perSecond)
}

// TestWaysOverAFleet compares ways to enforce a limit among hosts that were idle and then have
// requests waiting: each host enforces the whole limit alone; each has its share, with a burst
// of one request; and time slots. Only time slots stay below what the upstream tolerates at
// each fleet size.
func TestWaysOverAFleet(t *testing.T) {
	const perSecond = 1.2
	for _, hosts := range []int{1, 18, 95, 473} {
		is := is.New(t)
		alone := bucketExcess(hosts, perSecond, perSecond, 1)
		shares := bucketExcess(hosts, perSecond, perSecond/float64(hosts), 1)
		f := newFleet(hosts, []float64{1 / step.Seconds()}, []float64{perSecond}, 1)
		f.borrows = 2
		f.announce(epoch)
		f.run(epoch.Add(time.Minute), 10*time.Second)
		t.Logf("%d hosts, worst excess: alone %d, shares %d, time slots %d", hosts, alone, shares, f.worstExcess())
		is.True(f.worstExcess() < 0)
		is.True(hosts == 1 || alone > 0 && shares > 0)
	}
}

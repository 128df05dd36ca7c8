package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bucket is a host's own bound on what it sends to one upstream.
type bucket struct {
	perSecond, most, left float64
	at                    time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.left = min(b.most, b.left+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// bucketWorst is the most that an upstream gets above what it bears, of hosts that have
// buckets each, were idle for a while and have callers waiting then.
func bucketWorst(hosts int, perSecond, each, most float64) int {
	var times []time.Time
	buckets := make([]bucket, hosts)
	for i := range buckets {
		buckets[i] = bucket{perSecond: each, most: most, left: most, at: epoch}
	}
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(step) {
		for i := range buckets {
			if buckets[i].take(now) {
				times = append(times, now)
			}
		}
	}
	return mostWithin(times) - allowed(perSecond)
}

// TestWaysOverAFleet compares ways to keep to a limit among hosts that were idle and have
// callers waiting then: each host keeps to it alone; each has its share, of which one
// request may be saved up; and turns. Only turns stay below what the upstream bears at each
// size.
func TestWaysOverAFleet(t *testing.T) {
	const perSecond = 1.2
	for _, hosts := range []int{1, 18, 95, 473} {
		is := is.New(t)
		alone := bucketWorst(hosts, perSecond, perSecond, 1)
		shares := bucketWorst(hosts, perSecond, perSecond/float64(hosts), 1)
		f := newFleet(hosts, []float64{1 / step.Seconds()}, []float64{perSecond}, 1)
		f.asks = 2
		f.tell(epoch)
		f.run(epoch.Add(time.Minute), 10*time.Second)
		t.Logf("%d hosts, above what is borne: alone %d, shares %d, turns %d", hosts, alone, shares, f.worst())
		is.True(f.worst() < 0)
		is.True(hosts == 1 || alone > 0 && shares > 0)
	}
}

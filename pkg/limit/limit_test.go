package limit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func ExampleLimiter() {
	limiter := limit.New(1, limit.Bounds{Floor: 1, Ceiling: 8})
	fmt.Println(limiter.Acquire(0), limiter.Acquire(0))
	limiter.Release(limit.Sample{Latency: 4 * time.Millisecond})
	fmt.Println(limiter.Acquire(0))
	// Output:
	// true false
	// true
}

func ExampleRetryAfter() {
	random := rand.New(rand.NewPCG(1, 1))
	for range 3 {
		fmt.Println(limit.RetryAfter(3, random.Uint64()).Round(time.Millisecond))
	}
	// Output:
	// 7.978s
	// 820ms
	// 6.909s
}

// run passes the given number of windows through the limiter, with a latency that depends on
// the number of requests in flight.
func run(l *limit.Limiter, windows int, latency func(inFlight int) time.Duration) {
	for range windows * limit.WindowSamples {
		n := 0
		for l.Acquire(0) {
			n++
		}
		for range n {
			l.Release(limit.Sample{Latency: latency(n)})
		}
	}
}

// queueing returns the latency of a server with the given number of slots and a constant service
// time.
func queueing(slots int) func(int) time.Duration {
	return func(n int) time.Duration {
		return 5 * time.Millisecond * time.Duration(max(n, slots)) / time.Duration(slots)
	}
}

func TestLimitFindsTheKnee(t *testing.T) {
	for _, slots := range []int{3, 30} {
		is := is.New(t)
		l := limit.New(4, limit.Bounds{Floor: 2, Ceiling: 1000})
		run(l, 50, queueing(slots))
		got, _ := l.Limit()
		is.True(got >= slots)
		is.True(got <= slots*2+1)
	}
}

func TestLimitAcceptsALastingSlowdown(t *testing.T) {
	is := is.New(t)
	l := limit.New(4, limit.Bounds{Floor: 2, Ceiling: 1000})
	run(l, 50, queueing(10))
	slower := func(n int) time.Duration { return 3 * queueing(10)(n) }
	run(l, 50, slower)
	got, _ := l.Limit()
	is.True(got >= 10)
	is.True(got <= 21)
}

func TestLimitReactsToRefusalsDownToItsFloor(t *testing.T) {
	is := is.New(t)
	l := limit.New(50, limit.Bounds{Floor: 2, Ceiling: 100})
	last := limit.Unchanged
	for range 100 * limit.WindowSamples {
		is.True(l.Acquire(0))
		if r := l.Release(limit.Sample{Outcome: limit.Refused}); r != limit.Unchanged {
			last = r
		}
	}
	got, inFlight := l.Limit()
	is.Equal(got, 2)
	is.Equal(inFlight, 0)
	is.Equal(last, limit.DecreasedRefused)
}

// TestLimitFollowsReports checks that load reports lower the limit while other hosts keep
// queues at the upstream. Latency alone cannot show this, because it is never measured
// without a queue.
func TestLimitFollowsReports(t *testing.T) {
	is := is.New(t)
	l := limit.New(50, limit.Bounds{Floor: 2, Ceiling: 100})
	for range 100 * limit.WindowSamples {
		is.True(l.Acquire(0))
		l.Release(limit.Sample{Latency: 50 * time.Millisecond, Pressure: 4})
	}
	got, _ := l.Limit()
	is.Equal(got, 2)
}

func TestLimitDoesNotGrowUnused(t *testing.T) {
	is := is.New(t)
	l := limit.New(10, limit.Bounds{Floor: 2, Ceiling: 100})
	for range 100 * limit.WindowSamples {
		is.True(l.Acquire(0))
		l.Release(limit.Sample{Latency: time.Millisecond})
	}
	got, _ := l.Limit()
	is.Equal(got, 10)
}

func TestInFlightNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := limit.Bounds{Floor: rapid.IntRange(1, 4).Draw(t, "floor"), Ceiling: 20}
		l := limit.New(rapid.IntRange(1, 30).Draw(t, "initial"), b)
		held := 0
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 400).Draw(t, "ops") {
			bound, _ := l.Limit()
			switch {
			case op == 0 && l.Acquire(0):
				held++
				if held > bound {
					t.Fatalf("%d in flight, limit %d", held, bound)
				}
			case op > 0 && held > 0:
				held--
				l.Release(limit.Sample{Outcome: limit.Outcome(op - 1), Latency: time.Duration(op) * time.Millisecond})
			}
			bound, inFlight := l.Limit()
			if inFlight != held || bound < b.Floor || bound > b.Ceiling {
				t.Fatalf("limit %d, %d in flight, %d held", bound, inFlight, held)
			}
		}
	})
}

func TestRetryAfterIsSpreadAndGrows(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var excess limit.Excess
	for i := range 10_000 {
		excess.Observe(i%4 == 0)
	}
	is.True(excess.Ratio() > 2.5 && excess.Ratio() < 3.5)
	perSecond := map[int64]int{}
	for range 8000 {
		perSecond[limit.RetryAfterSeconds(limit.RetryAfter(3, random.Uint64()))]++
	}
	is.Equal(len(perSecond), 8)
	for _, n := range perSecond {
		is.True(n > 850 && n < 1150)
	}
	is.True(limit.RetryAfter(1e9, ^uint64(0)) <= limit.RetryAfterMax)
}

func BenchmarkLimiter(b *testing.B) {
	l := limit.New(100, limit.Bounds{Floor: 100, Ceiling: 100})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if l.Acquire(0) {
				l.Release(limit.Sample{Latency: time.Millisecond})
			}
		}
	})
}

// TestReportedCeiling checks the upper bound without load reports, with reports that show free
// slots, and without reports again.
func TestReportedCeiling(t *testing.T) {
	is := is.New(t)
	l := limit.New(2, limit.Bounds{Floor: 2, Ceiling: 4, ReportedCeiling: 8})
	limitAfter := func(pressure float64) int {
		for range 20 * limit.WindowSamples {
			n := 0
			for l.Acquire(0) {
				n++
			}
			for range n {
				l.Release(limit.Sample{Latency: time.Millisecond, Pressure: pressure})
			}
		}
		bound, _ := l.Limit()
		return bound
	}
	is.Equal(limitAfter(0), 4)
	is.Equal(limitAfter(0.5), 8)
	is.Equal(limitAfter(0), 4)
}

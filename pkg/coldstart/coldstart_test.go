package coldstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

func Example() {
	now := time.Unix(1000, 0)
	schedule := timeslot.Single()
	var u Upstream
	u.SetRate("i-1", 2.5)
	u.SetCold(now, 3*time.Second)
	fmt.Println(u.Take(now, schedule), u.Take(now, schedule), u.Take(now.Add(400*time.Millisecond), schedule))
	fmt.Println(u.IsCold(now.Add(3 * time.Second)))
	// Output:
	// true false true
	// false
}

func TestLateUpdateMakesNothingWarm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var u Upstream
	u.SetCold(now, time.Minute)
	is.True(!u.IsCold(now)) // no rate limit yet
	u.SetRate("i-1", 2.5)
	u.ExtendCold(now, 0)
	is.True(u.IsCold(now))
	u.ExtendCold(now, 2*time.Minute)
	is.True(u.IsCold(now.Add(time.Minute)))
	u.SetCold(now, 0)
	is.True(!u.IsCold(now))
}

// fleet simulates hosts that send as many requests to one upstream as they may. Time is virtual.
type fleet struct {
	rate      float64
	schedules []*timeslot.Schedule
	offsets   []time.Duration // error of each host's clock
	upstreams []Upstream      // the upstream, as known to each host
}

func newFleet(hosts int, rate float64) *fleet {
	f := &fleet{rate: rate, offsets: make([]time.Duration, hosts), upstreams: make([]Upstream, hosts)}
	for i := range hosts {
		t := timeslot.New(fmt.Sprint("host-", i))
		t.Set(time.Time{}, timeslot.Position{Self: i, Hosts: hosts})
		f.schedules = append(f.schedules, t)
		f.upstreams[i].SetRate("i-1", rate)
	}
	return f
}

// sends returns the times at which requests were sent, in order, if every host tries once in
// each step of the given length of time.
func (f *fleet) sends(length, step time.Duration) []time.Duration {
	start := time.Unix(1_700_000_000, 0)
	var out []time.Duration
	for i := range f.upstreams {
		f.upstreams[i].SetCold(start, length+time.Hour)
	}
	for at := time.Duration(0); at < length; at += step {
		for i, t := range f.schedules {
			if f.upstreams[i].Take(start.Add(at+f.offsets[i]), t) {
				out = append(out, at)
			}
		}
	}
	return out
}

// worstSecond returns the largest number of requests that were sent within one second.
func worstSecond(sends []time.Duration) int {
	worst, first := 0, 0
	for i, at := range sends {
		for at-sends[first] >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestWorstSecond checks the bound that the package comment states: r(1+2d)+1 if the hosts
// agree, and as much for each group if they do not.
func TestWorstSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 17, 95, 473}).Draw(t, "hosts")
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		offset := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond}).Draw(t, "offset")
		groups := min(rapid.SampledFrom([]int{1, 2}).Draw(t, "groups"), hosts)
		f := newFleet(hosts, rate)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range hosts {
			if offset > 0 {
				f.offsets[i] = time.Duration(random.Int64N(int64(2*offset))) - offset
			}
			size := (hosts + groups - 1 - i%groups) / groups
			f.schedules[i].Set(time.Time{}, timeslot.Position{Self: i / groups, Hosts: size})
		}
		bound := groups * int(math.Ceil(rate*(1+2*offset.Seconds())+1))
		if worst := worstSecond(f.sends(4*time.Second, 10*time.Millisecond)); worst > bound {
			t.Fatalf("%d in one second, bound %d", worst, bound)
		}
	})
}

// TestWaysOverAFleet compares ways to divide what a cold upstream tolerates, 2.5 requests a
// second, among hosts that exchange no messages and all have requests waiting: time slots, as
// implemented; a share of the rate for each host, with a burst of one request; and one request
// at a time, according to load reports that are 5 ms old, where a request takes 20 ms. Only
// time slots keep to the rate at each fleet size.
func TestWaysOverAFleet(t *testing.T) {
	const rate, length = 2.5, 3 * time.Second
	for _, hosts := range []int{17, 95, 473} {
		slots := worstSecond(newFleet(hosts, rate).sends(length, 10*time.Millisecond))
		shares := worstSecond(shareSends(hosts, rate, length))
		reports := worstSecond(reportSends(length, 5*time.Millisecond, 20*time.Millisecond))
		t.Logf("%d hosts, worst second: time slots %d, shares %d, reports %d", hosts, slots, shares, reports)
		if slots > 4 {
			t.Errorf("%d hosts: %d with time slots", hosts, slots)
		}
		if shares < hosts || reports < 40 {
			t.Errorf("%d hosts: the other ways do not exceed the bound: shares %d, reports %d", hosts, shares, reports)
		}
	}
}

// shareSends returns the times at which hosts send that each have a token bucket for their share
// of the rate.
func shareSends(hosts int, rate float64, length time.Duration) []time.Duration {
	var out []time.Duration
	each := time.Duration(float64(hosts) / rate * float64(time.Second))
	for at := time.Duration(0); at < length; at += each {
		for range hosts {
			out = append(out, at)
		}
	}
	return out
}

// reportSends returns the times at which hosts send that wait until no request is in flight,
// according to a report of the given age. One of them tries in each millisecond.
func reportSends(length, age, work time.Duration) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < length; at += time.Millisecond {
		running := false
		for i := len(out) - 1; i >= 0 && !running && out[i] > at-age-work; i-- {
			running = out[i] <= at-age
		}
		if !running {
			out = append(out, at)
		}
	}
	return out
}

// BenchmarkOpen measures what the balancer pays for each upstream that it considers.
func BenchmarkOpen(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	schedule := timeslot.New("10.0.0.1")
	for name, remaining := range map[string]time.Duration{"warm": 0, "cold": time.Hour} {
		b.Run(name, func(b *testing.B) {
			var u Upstream
			u.SetRate("i-1", 2.5)
			u.SetCold(now, remaining)
			b.ReportAllocs()
			for b.Loop() {
				u.Open(now, schedule)
			}
		})
	}
}

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
	mine := timeslot.Single()
	var u Upstream
	u.SetRate("i-1", 2.5)
	u.SetCold(now, 3*time.Second)
	fmt.Println(u.Take(now, mine), u.Take(now, mine), u.Take(now.Add(400*time.Millisecond), mine))
	fmt.Println(u.IsCold(now.Add(3 * time.Second)))
	// Output:
	// true false true
	// false
}

func TestNewsThatMayBeLateMakesNothingWarm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var u Upstream
	u.SetCold(now, time.Minute)
	is.True(!u.IsCold(now)) // bears anything
	u.SetRate("i-1", 2.5)
	u.ExtendCold(now, 0)
	is.True(u.IsCold(now))
	u.ExtendCold(now, 2*time.Minute)
	is.True(u.IsCold(now.Add(time.Minute)))
	u.SetCold(now, 0)
	is.True(!u.IsCold(now))
}

// crowd is a fleet in virtual time whose hosts send all they may to one upstream.
type crowd struct {
	rate   float64
	turns  []*timeslot.Schedule
	clocks []time.Duration // how far each host's clock is off
	knows  []Upstream      // what each host knows of the upstream
}

func newCrowd(hosts int, rate float64) *crowd {
	c := &crowd{rate: rate, clocks: make([]time.Duration, hosts), knows: make([]Upstream, hosts)}
	for i := range hosts {
		t := timeslot.New(fmt.Sprint("host-", i))
		t.Set(time.Time{}, timeslot.Position{Self: i, Hosts: hosts})
		c.turns = append(c.turns, t)
		c.knows[i].SetRate("i-1", rate)
	}
	return c
}

// sends returns when each request was sent, in order, where every host tries each step
// over a time.
func (c *crowd) sends(over, step time.Duration) []time.Duration {
	start := time.Unix(1_700_000_000, 0)
	var out []time.Duration
	for i := range c.knows {
		c.knows[i].SetCold(start, over+time.Hour)
	}
	for at := time.Duration(0); at < over; at += step {
		for i, t := range c.turns {
			if c.knows[i].Take(start.Add(at+c.clocks[i]), t) {
				out = append(out, at)
			}
		}
	}
	return out
}

// worstSecond is the most that were sent within one second.
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

// TestWorstSecond is the bound that the package states: r(1+2d)+1 where hosts agree, and
// so much for each group where they don't.
func TestWorstSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 17, 95, 473}).Draw(t, "hosts")
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		off := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 500 * time.Millisecond}).Draw(t, "clocks")
		groups := min(rapid.SampledFrom([]int{1, 2}).Draw(t, "groups"), hosts)
		c := newCrowd(hosts, rate)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range hosts {
			if off > 0 {
				c.clocks[i] = time.Duration(random.Int64N(int64(2*off))) - off
			}
			size := (hosts + groups - 1 - i%groups) / groups
			c.turns[i].Set(time.Time{}, timeslot.Position{Self: i / groups, Hosts: size})
		}
		bound := groups * int(math.Ceil(rate*(1+2*off.Seconds())+1))
		if worst := worstSecond(c.sends(4*time.Second, 10*time.Millisecond)); worst > bound {
			t.Fatalf("%d in one second, bound %d", worst, bound)
		}
	})
}

// TestWaysOverAFleet compares ways to share what cold upstreams bear, 2.5 requests a
// second, among hosts that share nothing and all press: turns, as built; a share of the
// rate for each host, of which one request may be saved; and one request at a time, by
// what the upstream reports, 5 ms old, where work takes 20 ms. Only turns keep the rate
// at each size.
func TestWaysOverAFleet(t *testing.T) {
	const rate, over = 2.5, 3 * time.Second
	for _, hosts := range []int{17, 95, 473} {
		byTurns := worstSecond(newCrowd(hosts, rate).sends(over, 10*time.Millisecond))
		shares := worstSecond(shareSends(hosts, rate, over))
		reports := worstSecond(reportSends(over, 5*time.Millisecond, 20*time.Millisecond))
		t.Logf("%d hosts, worst second: turns %d, shares %d, reports %d", hosts, byTurns, shares, reports)
		if byTurns > 4 {
			t.Errorf("%d hosts: %d by turns", hosts, byTurns)
		}
		if shares < hosts || reports < 40 {
			t.Errorf("%d hosts: the other ways keep the bound: %d, %d", hosts, shares, reports)
		}
	}
}

// shareSends is when hosts send that each have a token for their share of the rate.
func shareSends(hosts int, rate float64, over time.Duration) []time.Duration {
	var out []time.Duration
	each := time.Duration(float64(hosts) / rate * float64(time.Second))
	for at := time.Duration(0); at < over; at += each {
		for range hosts {
			out = append(out, at)
		}
	}
	return out
}

// reportSends is when hosts send that look at what runs there, some time ago. Each
// millisecond one of them presses.
func reportSends(over, old, work time.Duration) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < over; at += time.Millisecond {
		running := false
		for i := len(out) - 1; i >= 0 && !running && out[i] > at-old-work; i-- {
			running = out[i] <= at-old
		}
		if !running {
			out = append(out, at)
		}
	}
	return out
}

// BenchmarkOpen is what a choice pays for each upstream that it looks at.
func BenchmarkOpen(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	mine := timeslot.New("10.0.0.1")
	for name, left := range map[string]time.Duration{"warm": 0, "cold": time.Hour} {
		b.Run(name, func(b *testing.B) {
			var u Upstream
			u.SetRate("i-1", 2.5)
			u.SetCold(now, left)
			b.ReportAllocs()
			for b.Loop() {
				u.Open(now, mine)
			}
		})
	}
}

package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// The load that these tests play: upstreams of a service name limits, and hosts get
// requests at random moments, some more than others. Time is virtual.

const (
	// window, overage and slack are what upstreams bear: in a window, so many times their
	// limit, and so many requests more.
	window  = 4 * time.Second
	overage = 1.5
	slack   = 5
	// step is the time between two looks of requests that wait for a turn.
	step = 5 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// allowed is what an upstream that names a limit bears in a window.
func allowed(perSecond float64) int { return int(overage*perSecond*window.Seconds() + slack) }

// mostWithin returns the most of sorted times that lie within a window.
func mostWithin(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleet is hosts whose callers can be served by limited upstreams alone.
type fleet struct {
	hosts     []*fleetHost
	perSecond []float64 // limits, by upstream
	arrivals  [][]time.Time
	random    *rand.Rand
	// waits is how long a request waits for a turn before it is refused.
	waits           time.Duration
	asked, answered int
	// asks is how many other hosts a request asks for a turn, and messages how many were.
	asks, messages int
}

type fleetHost struct {
	turns   *timeslot.Schedule
	states  []*State
	load    float64 // requests a second
	clock   time.Duration
	waiting []time.Time // until when each request waits
}

func newFleet(hosts int, loads []float64, perSecond []float64, seed uint64) *fleet {
	f := &fleet{perSecond: perSecond, arrivals: make([][]time.Time, len(perSecond)),
		random: rand.New(rand.NewPCG(seed, 1)), waits: 100 * time.Millisecond}
	for i := range hosts {
		h := &fleetHost{turns: timeslot.New(fmt.Sprint(i)), load: loads[i%len(loads)]}
		h.turns.Set(epoch, timeslot.Position{Self: i, Hosts: hosts})
		for u := range perSecond {
			h.states = append(h.states, NewState(fmt.Sprint("u", u), 0, h.turns))
		}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// tell makes all hosts hear the limits.
func (f *fleet) tell(at time.Time) {
	for _, h := range f.hosts {
		for u, s := range h.states {
			s.Observe(at.Add(h.clock), at.Add(h.clock), Limit{Limited, f.perSecond[u]}, Answer)
		}
	}
}

// run plays a time.
func (f *fleet) run(from time.Time, length time.Duration) {
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		for _, h := range f.hosts {
			if f.random.Float64() < h.load*step.Seconds() {
				f.asked++
				if f.send(now, h, f.asks) {
					f.answered++
				} else {
					h.waiting = append(h.waiting, now.Add(f.waits))
				}
			}
			f.serve(now, h)
		}
	}
}

// serve sends what waits at a host, as far as it has turns, and refuses what waited long.
func (f *fleet) serve(now time.Time, h *fleetHost) {
	for len(h.waiting) > 0 && f.send(now, h, 0) {
		f.answered++
		h.waiting = h.waiting[1:]
	}
	h.waiting = slices.DeleteFunc(h.waiting, now.After)
}

// send sends one request to an upstream at which the host has a turn.
func (f *fleet) send(now time.Time, h *fleetHost, asks int) bool {
	first := f.random.IntN(len(h.states))
	for i := range h.states {
		u := (first + i) % len(h.states)
		if h.states[u].Open(now.Add(h.clock)) && h.states[u].Take(now.Add(h.clock)) {
			f.arrivals[u] = append(f.arrivals[u], now)
			return true
		}
	}
	for range asks {
		u := f.random.IntN(len(h.states))
		lender, ok := h.states[u].Lender(now.Add(h.clock), f.random.Uint64())
		if !ok {
			continue
		}
		f.messages++
		if o := f.hosts[lender]; o.states[u].Lend(now.Add(o.clock)) {
			f.arrivals[u] = append(f.arrivals[u], now)
			return true
		}
	}
	return false
}

// worst returns the most that any upstream got in a window, above what it bears if positive.
func (f *fleet) worst() (over int) {
	over = math.MinInt
	for u, times := range f.arrivals {
		over = max(over, mostWithin(times)-allowed(f.perSecond[u]))
	}
	return over
}

// used returns the share of what the upstreams take together that was used in a time.
func (f *fleet) used(length time.Duration) float64 {
	sum := 0.0
	for _, l := range f.perSecond {
		sum += l
	}
	return float64(f.answered) / (sum * length.Seconds())
}

func repeated(perSecond float64, n int) []float64 { return slices.Repeat([]float64{perSecond}, n) }

// TestLimitsOverAFleet: all upstreams of a service name a limit. Grounds: what upstreams
// bear, with a request left over for what is on its way; and what they take together is
// used where callers ask for twice as much.
func TestLimitsOverAFleet(t *testing.T) {
	const length = 15 * time.Second
	for _, c := range []struct {
		hosts, upstreams int
		perSecond        float64
	}{
		{1, 1, 0.4}, {1, 10, 2.2}, {4, 10, 1.2}, {18, 10, 0.3}, {18, 10, 1.2}, {18, 10, 2.2}, {18, 10, 40},
		{95, 37, 1.2}, {95, 37, 8}, {473, 20, 1.2}, {473, 4, 1.2},
	} {
		for name, loads := range map[string][]float64{"equal": {1}, "unequal": {0.25, 0.25, 0.5, 3}} {
			t.Run(fmt.Sprintf("%d hosts, %d upstreams with %v, %s", c.hosts, c.upstreams, c.perSecond, name), func(t *testing.T) {
				is := is.New(t)
				total := float64(c.upstreams) * c.perSecond
				var scaled []float64
				for _, l := range loads {
					scaled = append(scaled, l*2*total/float64(c.hosts))
				}
				for _, asks := range []int{0, 1, 2, 3} {
					f := newFleet(c.hosts, scaled, repeated(c.perSecond, c.upstreams), 1)
					f.asks = asks
					f.tell(epoch)
					f.run(epoch, length)
					t.Logf("%d asked: used %.2f, worst %d above what is borne, %.2f messages a request", asks, f.used(length), f.worst(), float64(f.messages)/float64(f.asked))
					is.True(f.worst() < 0)
				}
			})
		}
	}
}

// TestWorstWindow is the bound that the package states, with hosts that have callers waiting
// all the time, clocks that differ, and parts that count differently.
func TestWorstWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 18, 95}).Draw(t, "hosts")
		perSecond := rapid.Float64Range(0.3, 20).Draw(t, "limit")
		off := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "clocks")
		groups := min(rapid.SampledFrom([]int{1, 2}).Draw(t, "groups"), hosts)
		idle := rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(t, "idle")
		f := newFleet(hosts, []float64{1 / step.Seconds()}, []float64{perSecond}, rapid.Uint64().Draw(t, "seed"))
		for i, h := range f.hosts {
			if off > 0 {
				h.clock = time.Duration(f.random.Int64N(int64(2*off))) - off
			}
			size := (hosts + groups - 1 - i%groups) / groups
			h.turns.Set(epoch.Add(h.clock), timeslot.Position{Self: i / groups, Hosts: size})
		}
		f.tell(epoch)
		f.run(epoch.Add(idle), 10*time.Second)
		bound := groups * int(math.Ceil(perSecond*(window+SlotValidity+2*off).Seconds()+2))
		if worst := mostWithin(f.arrivals[0]); worst > bound {
			t.Fatalf("%d in %v, bound %d", worst, window, bound)
		}
	})
}

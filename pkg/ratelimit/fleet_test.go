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

// These tests simulate a service whose upstreams announce limits. Hosts receive requests at
// random times, some hosts more than others. Time is virtual.

const (
	// window, overage and slack define what upstreams tolerate: in a window, overage times
	// their limit plus slack requests.
	window  = 4 * time.Second
	overage = 1.5
	slack   = 5
	// step is the interval at which waiting requests look for a slot.
	step = 5 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// allowed returns the number of requests that an upstream with a limit tolerates in a window.
func allowed(perSecond float64) int { return int(overage*perSecond*window.Seconds() + slack) }

// maxInWindow returns the largest number of the sorted times that lie within one window.
func maxInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleet simulates hosts whose requests can be served only by upstreams with a limit.
type fleet struct {
	hosts     []*fleetHost
	perSecond []float64 // limits, by upstream
	arrivals  [][]time.Time
	random    *rand.Rand
	// maxWait is how long a request waits for a slot before it is refused.
	maxWait          time.Duration
	received, served int
	// borrows is the number of other hosts that a request asks for a slot, and messages is the
	// number of hosts that were asked.
	borrows, messages int
}

type fleetHost struct {
	schedule *timeslot.Schedule
	states   []*State
	load     float64 // requests a second
	clock    time.Duration
	waiting  []time.Time // when the wait of each request ends
}

func newFleet(hosts int, loads []float64, perSecond []float64, seed uint64) *fleet {
	f := &fleet{perSecond: perSecond, arrivals: make([][]time.Time, len(perSecond)),
		random: rand.New(rand.NewPCG(seed, 1)), maxWait: 100 * time.Millisecond}
	for i := range hosts {
		h := &fleetHost{schedule: timeslot.New(fmt.Sprint(i)), load: loads[i%len(loads)]}
		h.schedule.Set(epoch, timeslot.Position{Self: i, Hosts: hosts})
		for u := range perSecond {
			h.states = append(h.states, NewState(fmt.Sprint("u", u), 0, h.schedule))
		}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// announce makes all hosts observe the limits.
func (f *fleet) announce(at time.Time) {
	for _, h := range f.hosts {
		for u, s := range h.states {
			s.Observe(at.Add(h.clock), at.Add(h.clock), Limit{Limited, f.perSecond[u]}, Answer)
		}
	}
}

// run simulates the fleet for the given length of time.
func (f *fleet) run(from time.Time, length time.Duration) {
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		for _, h := range f.hosts {
			if f.random.Float64() < h.load*step.Seconds() {
				f.received++
				if f.send(now, h, f.borrows) {
					f.served++
				} else {
					h.waiting = append(h.waiting, now.Add(f.maxWait))
				}
			}
			f.serve(now, h)
		}
	}
}

// serve sends the requests that wait at a host while it has slots, and drops those whose wait
// has ended.
func (f *fleet) serve(now time.Time, h *fleetHost) {
	for len(h.waiting) > 0 && f.send(now, h, 0) {
		f.served++
		h.waiting = h.waiting[1:]
	}
	h.waiting = slices.DeleteFunc(h.waiting, now.After)
}

// send sends one request to an upstream where the host has a slot. If there is none, it tries to
// borrow one from up to the given number of other hosts.
func (f *fleet) send(now time.Time, h *fleetHost, borrows int) bool {
	first := f.random.IntN(len(h.states))
	for i := range h.states {
		u := (first + i) % len(h.states)
		if h.states[u].Open(now.Add(h.clock)) && h.states[u].Take(now.Add(h.clock)) {
			f.arrivals[u] = append(f.arrivals[u], now)
			return true
		}
	}
	for range borrows {
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

// worstExcess returns by how many requests the upstreams exceeded what they tolerate in a window,
// at most; it is negative if none did.
func (f *fleet) worstExcess() (over int) {
	over = math.MinInt
	for u, times := range f.arrivals {
		over = max(over, maxInWindow(times)-allowed(f.perSecond[u]))
	}
	return over
}

// utilization returns the share of the upstreams' total limit that was used in a length of time.
func (f *fleet) utilization(length time.Duration) float64 {
	sum := 0.0
	for _, l := range f.perSecond {
		sum += l
	}
	return float64(f.served) / (sum * length.Seconds())
}

func repeated(perSecond float64, n int) []float64 { return slices.Repeat([]float64{perSecond}, n) }

// TestLimitsOverAFleet simulates a service all of whose upstreams announce a limit, with a load
// of twice their total limit. No upstream may receive as much as it tolerates: at least one
// request is left for what is in transit. The log shows how much of the total limit is used.
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
				for _, borrows := range []int{0, 1, 2, 3} {
					f := newFleet(c.hosts, scaled, repeated(c.perSecond, c.upstreams), 1)
					f.borrows = borrows
					f.announce(epoch)
					f.run(epoch, length)
					t.Logf("%d hosts asked: utilization %.2f, worst excess %d, %.2f messages a request", borrows, f.utilization(length), f.worstExcess(), float64(f.messages)/float64(f.received))
					is.True(f.worstExcess() < 0)
				}
			})
		}
	}
}

// TestWorstWindow checks the bound that the package comment states, for hosts that always have
// requests waiting, clocks that differ, and groups of hosts that count differently.
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
			h.schedule.Set(epoch.Add(h.clock), timeslot.Position{Self: i / groups, Hosts: size})
		}
		f.announce(epoch)
		f.run(epoch.Add(idle), 10*time.Second)
		bound := groups * int(math.Ceil(perSecond*(window+SlotValidity+2*off).Seconds()+2))
		if worst := maxInWindow(f.arrivals[0]); worst > bound {
			t.Fatalf("%d in %v, bound %d", worst, window, bound)
		}
	})
}

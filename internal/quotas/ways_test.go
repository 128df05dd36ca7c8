package quotas

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

// way is one way to keep a fleet to a quota: it reports whether a request at a host may go.
type way func(now time.Time, host int) bool

// eachItsShare gives each host a fixed part.
func eachItsShare(hosts int, c *config.Customer) way {
	wallets := make([]quota.Allowance, hosts)
	return func(now time.Time, host int) bool { return wallets[host].TakeFallback(now, limitOf(c), hosts) }
}

// waysBegin is when the ways begin.
var waysBegin = time.Unix(10_000, 0)

// tellEvery is how often hosts tell one another what they have used.
const tellEvery = 500 * time.Millisecond

// usageTold has each host admit by its own count, and by what the others have told: a bucket
// of all that it knows.
func usageTold(hosts int, c *config.Customer) way {
	room := make([]float64, hosts)
	filled := make([]time.Time, hosts)
	used := make([]int, hosts)
	for i := range room {
		room[i], filled[i] = c.Burst, waysBegin
	}
	var told time.Time
	return func(now time.Time, host int) bool {
		if now.Sub(told) >= tellEvery {
			told = now
			all := 0
			for _, n := range used {
				all += n
			}
			for i := range room {
				room[i] -= float64(all - used[i])
			}
			clear(used)
		}
		room[host] = min(room[host]+now.Sub(filled[host]).Seconds()*c.RatePerSecond, c.Burst)
		filled[host] = now
		if room[host] < 1 {
			return false
		}
		room[host]--
		used[host]++
		return true
	}
}

// TestWaysOverAFleet prints the table of docs/design/20.
func TestWaysOverAFleet(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement: set MEASURE")
	}
	hostsOf := map[string]func(*rand.Rand, int) int{"any": anyHost, "one": oneHost, "few": fewHosts}
	for _, hosts := range []int{13, 117, 587, 4000} {
		for _, name := range []string{"any", "one", "few"} {
			line := fmt.Sprintf("| %d, %s |", hosts, name)
			for _, make := range []func(int, *config.Customer) way{eachItsShare, usageTold} {
				calm := playWay(make(hosts, customer), hosts, 48, hostsOf[name])
				hot := playWay(make(hosts, customer), hosts, 400, hostsOf[name])
				line += fmt.Sprintf(" %.2f, %.2f |", hot.worst, refusedShare(calm))
			}
			calm := newWorld(hosts).play(customer, load{steady(48), hostsOf[name]}, 8, nothing)
			w := newWorld(hosts)
			hot := w.play(customer, load{steady(400), hostsOf[name]}, 12, nothing)
			t.Log(line, fmt.Sprintf("%.2f, %.2f | %.2f |", hot.worst, refusedShare(calm), float64(w.asked)/(12*400)))
		}
	}
}

func refusedShare(o outcome) float64 { return float64(o.refused) / float64(o.refused+o.served) }

// playWay is world.play for a way without hosts of its own.
func playWay(may way, hosts int, rate float64, host func(*rand.Rand, int) int) outcome {
	random := rand.New(rand.NewPCG(1, uint64(hosts)))
	now := waysBegin
	var out outcome
	const seconds = 12
	served := make([]int, seconds*1000)
	due := 0.0
	for ms := range served {
		now = now.Add(time.Millisecond)
		for due += rate / 1000; due >= 1; due-- {
			if may(now, host(random, hosts)) {
				served[ms]++
				out.served++
			} else {
				out.refused++
			}
		}
	}
	out.count(served, customer)
	return out
}

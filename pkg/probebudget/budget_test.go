package probebudget

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func drawFaults(t *rapid.T) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:  faultKind(rapid.IntRange(0, int(numFaults)-1).Draw(t, "kind")),
			after: rapid.IntRange(0, 20).Draw(t, "after"),
			host:  rapid.IntRange(0, testPlan.MaxHosts-1).Draw(t, "host"),
			ticks: rapid.IntRange(1, 100).Draw(t, "ticks"),
		}
	})
	return rapid.SliceOfN(one, 0, 60).Draw(t, "faults")
}

const scheduleTicks = 1200

// TestSpendInAnyWindow drives the naive variants through the
// same drawn schedules. Each must be caught over budget.
func TestSpendInAnyWindow(t *testing.T) {
	is := is.New(t)
	window := int(testPlan.Window() / tick)
	breached := make([]int, len(variants))
	most := make([]int, len(variants))
	probes := make([]int, len(variants))
	var faultCount [numFaults]int
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		runs++
		for _, x := range faults {
			faultCount[x.kind]++
		}
		for v := range variants {
			arrivals := run(variants[v].make, faults, scheduleTicks)
			one := worst(arrivals, window)
			probes[v] += len(arrivals)
			most[v] = max(most[v], one)
			over := one > testPlan.MaxHosts || worst(arrivals, 10*window) > 10*testPlan.MaxHosts
			if over {
				breached[v]++
			}
		}
	})
	t.Logf("%d schedules of %d ticks, window %d ticks, budget %d probes in a window", runs, scheduleTicks, window, testPlan.MaxHosts)
	for k, n := range faultCount {
		t.Logf("fault %-18s %6d", faultNames[k], n)
	}
	for v := range variants {
		full := float64(runs) * scheduleTicks / float64(window) * float64(testPlan.MaxHosts)
		t.Logf("%-52s over budget in %4d of %d schedules, worst window %3d%% of budget, used %3.0f%%",
			variants[v].name, breached[v], runs, 100*most[v]/testPlan.MaxHosts, 100*float64(probes[v])/full)
	}
	for v := range variants {
		is.True(breached[v] > 0) // the naive variant must be caught
	}
}

// TestRestartsEarnNothing restarts one process a hundred times.
func TestRestartsEarnNothing(t *testing.T) {
	var faults []fault
	for range 100 {
		faults = append(faults, fault{kind: restart, after: 5})
	}
	window := int(testPlan.Window() / tick)
	for _, variant := range variants {
		arrivals := run(variant.make, faults, 600)
		t.Logf("%-52s worst window %d of %d", variant.name, worst(arrivals, window), testPlan.MaxHosts)
	}
}

func TestPlanFigures(t *testing.T) {
	is := is.New(t)
	p := Plan{MaxHosts: 24, Slots: 3, SlotTimePercent: 1, Cost: 6 * time.Millisecond}
	is.Equal(p.Window().Round(time.Millisecond), 4800*time.Millisecond)
	is.Equal(p.PerWindow(), 144*time.Millisecond)
	p.SlotTimePercent = 0
	is.True(!p.Enabled())
	p.MaxHosts = 0
	is.True(p.Validate() != nil)
}

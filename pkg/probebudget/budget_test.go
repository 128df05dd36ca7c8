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

// TestSpendInAnyWindow runs Budget and naive variants of it on the same random schedules of
// faults. Budget must keep the guarantee in every window, and the test must find a schedule
// in which each naive variant violates it.
func TestSpendInAnyWindow(t *testing.T) {
	is := is.New(t)
	window := int(testPlan.Window() / tick)
	violations := make([]int, len(variants))
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
			length := overBudget(arrivals, window)
			if length > 0 {
				violations[v]++
			}
			if length > 0 && v == 0 {
				rt.Fatalf("over budget in a window of %d ticks", length)
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
			variants[v].name, violations[v], runs, 100*most[v]/testPlan.MaxHosts, 100*float64(probes[v])/full)
	}
	is.Equal(violations[0], 0)
	for v := 1; v < len(variants); v++ {
		is.True(violations[v] > 0) // a violation by the naive variant must be found
	}
}

// overBudget returns the length of a window that violates the guarantee, or 0.
// Between whole multiples of the window the excess stays below one PerWindow.
func overBudget(arrivals []int, window int) int {
	for length := window / 2; length <= 10*window; length += window / 2 {
		allowed := (length + window - 1) / window * testPlan.MaxHosts
		if worst(arrivals, length) > allowed {
			return length
		}
	}
	return 0
}

// TestUseOfWindowsByLiveHosts logs which part of the budget is used if hosts are absent.
func TestUseOfWindowsByLiveHosts(t *testing.T) {
	window := int(testPlan.Window() / tick)
	full := float64(scheduleTicks) / float64(window) * float64(testPlan.MaxHosts)
	for absent := range testPlan.MaxHosts {
		var faults []fault
		for h := range absent {
			faults = append(faults, fault{kind: down, host: h, ticks: 2 * scheduleTicks})
		}
		arrivals := run(newFixedShare, faults, scheduleTicks)
		t.Logf("%d of %d hosts live: %.0f%% of the budget used", testPlan.MaxHosts-absent, testPlan.MaxHosts, 100*float64(len(arrivals))/full)
	}
}

// TestRestartsEarnNothing checks that a process which restarts a hundred times gets no extra
// budget.
func TestRestartsEarnNothing(t *testing.T) {
	is := is.New(t)
	var faults []fault
	for range 100 {
		faults = append(faults, fault{kind: restart, after: 5})
	}
	window := int(testPlan.Window() / tick)
	for v, variant := range variants {
		arrivals := run(variant.make, faults, 600)
		t.Logf("%-52s worst window %d of %d", variant.name, worst(arrivals, window), testPlan.MaxHosts)
		if v == 0 {
			is.True(worst(arrivals, window) <= testPlan.MaxHosts)
			is.True(len(arrivals) <= 600/window*testPlan.MaxHosts)
		}
	}
}

func TestOverrunIsPaidBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New()
	is.NoErr(b.Configure(now, "u", testPlan))
	due, ok := b.Due("u")
	is.True(ok)
	g, ok := b.Take(due, "u")
	is.True(ok)
	_, again := b.Take(due.Add(time.Hour), "u")
	is.True(!again) // one probe at a time
	is.True(b.Settle(due, g, 3*testPlan.Cost, Answered))
	is.True(!b.Settle(due, g, 0, Answered)) // settled twice
	next, _ := b.Due("u")
	is.True(next.Sub(due) >= 3*testPlan.Window())
	is.Equal(b.Counters("u").Spent, 3*testPlan.Cost)
}

func TestRemoveKeepsAnOutstandingProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New()
	is.NoErr(b.Configure(now, "u", testPlan))
	due, _ := b.Due("u")
	g, _ := b.Take(due, "u")
	b.Remove("u")
	is.NoErr(b.Configure(due, "u", testPlan))
	_, ok := b.Take(due.Add(time.Hour), "u")
	is.True(!ok)
	is.True(b.Settle(due.Add(time.Hour), g, 0, Answered))
	next, _ := b.Due("u")
	is.True(next.After(due.Add(time.Hour).Add(testPlan.Window())))
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

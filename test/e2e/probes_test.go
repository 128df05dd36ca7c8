package e2e

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// The probe budget of docs/design/04-measuring-budget.md. With 13 entry hosts, 3 slots, 4% of
// slot time and probes of 6 ms, a window is 650 ms.
const (
	probeSlots   = 3
	probePercent = 4
	probeCost    = 6 * time.Millisecond
	probeWindow  = entryHosts * probeCost * 100 / (probeSlots * probePercent)
	maxMultiple  = 5 // windows of one to five times probeWindow are checked

	probeSeconds       = 12
	probeKillInterval  = 1200 * time.Millisecond
	probePauseInterval = 2500 * time.Millisecond
)

// probeArgs are the arguments with which entry hosts probe as often as the budget allows.
var probeArgs = []string{"--max-entry-hosts", strconv.Itoa(entryHosts), "--probe-path", "/_probe", "--probe-fresh-for", "1ms"}

// probes returns the times at which probes reached an upstream, in ascending order.
func (f *fleet) probes(addr string) []time.Duration {
	f.t.Helper()
	resp, err := f.client.Get("http://" + addr + "/_probes")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var at []time.Duration
	if err := json.NewDecoder(resp.Body).Decode(&at); err != nil {
		f.t.Fatal(err)
	}
	slices.Sort(at)
	return at
}

// maxProbes returns the maximum number of probes in any half-open window of the given length.
func maxProbes(at []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range at {
		for at[last]-at[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// checkBudget fails the test if any window has more probes than the budget allows.
func (f *fleet) checkBudget(elapsed time.Duration) {
	f.t.Helper()
	for i, addr := range f.upstreams {
		at := f.probes(addr)
		if len(at) == 0 {
			f.t.Errorf("upstream %d: no probes", i+1)
			continue
		}
		for n := 1; n <= maxMultiple; n++ {
			window := time.Duration(n) * probeWindow
			most, budget := maxProbes(at, window), n*entryHosts
			if most > budget {
				f.t.Errorf("upstream %d: %d probes within %s, the budget is %d", i+1, most, window, budget)
			}
			if n == 1 || n == maxMultiple {
				f.t.Logf("upstream %d: fullest window of %s has %d of %d probes", i+1, window, most, budget)
			}
		}
		used := float64(len(at)) * probeCost.Seconds() / (elapsed.Seconds() * probeSlots * probePercent / 100)
		f.t.Logf("upstream %d: %d probes in %s, %.0f%% of the budget", i+1, len(at), elapsed.Round(time.Second), 100*used)
	}
}

// probedDocument returns the fleet's document with a probe budget.
func probedDocument(f *fleet) *config.Service {
	doc := f.document()
	doc.Groups[0].Probe = config.ProbeBudget{SlotTimePercent: probePercent, Cost: config.Duration(probeCost)}
	return doc
}

func TestProbesStayWithinTheBudget(t *testing.T) {
	f := newFleet(t, 3, entryHosts, probeArgs...)
	f.publish(probedDocument(f))
	start := time.Now()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		every(done, probeKillInterval, func(i int) {
			e := f.entries[2*i%entryHosts]
			e.kill()
			f.restart(e)
		})
	})
	wg.Go(func() {
		every(done, probePauseInterval, func(i int) {
			e := f.entries[(2*i+7)%entryHosts]
			e.signal(syscall.SIGSTOP)
			time.Sleep(3 * probeWindow)
			e.signal(syscall.SIGCONT)
		})
	})
	half := time.Duration(scaled(probeSeconds)) * time.Second / 2
	time.Sleep(half)
	f.faults(standin.Faults{Down: true})
	time.Sleep(half)
	close(done)
	wg.Wait()
	f.checkBudget(time.Since(start))
}

// TestProbesOfASharedServerStayWithinTheBudget checks that a server that two services list
// under different names has a single probe budget.
func TestProbesOfASharedServerStayWithinTheBudget(t *testing.T) {
	parallel(t)
	f := newFleet(t, 1, entryHosts, probeArgs...)
	start := time.Now()
	f.publish(probedDocument(f))
	second := probedDocument(f)
	second.Name = "catalogue"
	second.Match.PathPrefix = "/catalogue/"
	second.Groups[0].Upstreams[0].ID = "catalogue-1"
	f.publish(second)
	time.Sleep(8 * probeWindow)
	f.checkBudget(time.Since(start))
}

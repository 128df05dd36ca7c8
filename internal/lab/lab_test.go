package lab

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
)

func runWithSeed(t *testing.T, policy string, seed uint64, f Fault) *Result {
	t.Helper()
	b, err := registry.Lookup(policy)
	if err != nil {
		t.Fatal(err)
	}
	return Run{Workload: Workloads[0], Fault: f, Builder: b, ProbePercent: 2, Duration: time.Second, Seed: seed}.Do()
}

func TestRunIsDeterminedBySeed(t *testing.T) {
	for _, name := range registry.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := runWithSeed(t, name, 7, Faults[1])
			b := runWithSeed(t, name, 7, Faults[1])
			c := runWithSeed(t, name, 8, Faults[1])
			is.True(a.Latency.Equals(b.Latency))  // the same seed gives the same latencies
			is.True(!a.Latency.Equals(c.Latency)) // another seed gives other latencies
		})
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	for _, f := range Faults {
		for _, name := range registry.Names() {
			t.Run(f.Name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				r := runWithSeed(t, name, 3, f)
				ended := r.Good + r.GivenUp
				is.True(ended <= r.Offered)                       // no request ends twice
				is.True(float64(ended) > 0.75*float64(r.Offered)) // the rest was in flight at the end
				is.True(r.ProbeShare <= 2.1)                      // within the probe budget of 2%
			})
		}
	}
}

func TestCentralQueueMedianIsBelowEveryPolicy(t *testing.T) {
	is := is.New(t)
	ref := Run{Workload: Workloads[0], Fault: Faults[0], Duration: 2 * time.Second, Seed: 1}.Do()
	for _, name := range registry.Names() {
		r := runWithSeed(t, name, 1, Faults[0])
		is.True(ref.Millis(50) < r.Millis(50))
	}
}

func TestClockRunsEventsInOrder(t *testing.T) {
	is := is.New(t)
	var c Clock
	var got []int
	c.After(2, func() { got = append(got, 3) })
	c.After(1, func() { got = append(got, 1) })
	c.After(1, func() { got = append(got, 2) })
	c.run(5)
	is.Equal(got, []int{1, 2, 3})
	is.Equal(c.Elapsed(), time.Duration(5))
}

func TestPlotsAreDeterministic(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Candidate: "random", Total: runWithSeed(t, "random", 1, Faults[0])}}
	var files [2][]byte
	for i := range files {
		name, err := PlotTail(t.TempDir(), "svg", Workloads[0], Faults[0], rows)
		is.NoErr(err)
		files[i], err = os.ReadFile(name)
		is.NoErr(err)
	}
	is.True(len(files[0]) > 0)
	is.Equal(string(files[0]), string(files[1]))
}

// The results of a plan must not depend on how many of its runs execute
// concurrently.
func TestCompareDoesNotDependOnWorkers(t *testing.T) {
	is := is.New(t)
	plan := Plan{
		Candidates: Candidates(2),
		Seeds:      2,
		FirstSeed:  1,
		Duration:   100 * time.Millisecond,
		Workers:    1,
	}
	alone := plan.Compare(Workloads[4], Faults[1])
	plan.Workers = 4
	parallel := plan.Compare(Workloads[4], Faults[1])
	for i := range alone {
		is.Equal(alone[i].Candidate, parallel[i].Candidate)
		is.True(alone[i].Total.Latency.Equals(parallel[i].Total.Latency))
	}
}

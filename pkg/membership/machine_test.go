package membership_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// hostsInMachine is the size of the fleet under random faults.
const hostsInMachine = 9

// agreeBound is the number of periods after the last fault within which all
// hosts must agree.
const agreeBound = 150

// machine applies random faults, also several at once, to a fleet. rapid orders
// its actions by method name, so a renamed method changes the drawn sequences.
type machine struct {
	*fleet
	revision uint64
	counts   map[string]int // number of steps by kind, over all fleets
}

func (m *machine) anyHost(t *rapid.T) int {
	return rapid.IntRange(0, hostsInMachine-1).Draw(t, "host")
}

func (m *machine) Kill(t *rapid.T) {
	m.counts["kill"]++
	m.hosts[m.anyHost(t)].up = false
}

func (m *machine) Restart(t *rapid.T) {
	m.counts["restart"]++
	i := m.anyHost(t)
	m.start(i)
	m.StaleList(t)
}

func (m *machine) Pause(t *rapid.T) {
	m.counts["pause"]++
	m.hosts[m.anyHost(t)].paused = true
}

func (m *machine) Resume(t *rapid.T) {
	m.counts["resume"]++
	if i := m.anyHost(t); m.hosts[i].paused {
		m.resume(i)
	}
}

func (m *machine) Split(t *rapid.T) {
	m.counts["split"]++
	split(m.fleet, rapid.IntRange(1, hostsInMachine-1).Draw(t, "first"))
}

func (m *machine) Heal(*rapid.T) {
	m.counts["heal"]++
	heal(m.fleet)
}

func (m *machine) Network(t *rapid.T) {
	m.counts["network"]++
	m.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(t, "loss")
	m.dup = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "dup")
	m.maxDelay = rapid.SampledFrom([]time.Duration{
		6 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second,
	}).Draw(t, "delay")
}

// StaleList publishes a list of arbitrary hosts, dead or alive.
func (m *machine) StaleList(t *rapid.T) {
	m.counts["stalelist"]++
	m.revision++
	m.setHostList(m.revision, rapid.SliceOfDistinct(
		rapid.IntRange(0, hostsInMachine-1), rapid.ID[int]).Draw(t, "listed"))
}

func (m *machine) Metadata(t *rapid.T) {
	m.counts["metadata"]++
	if h := m.hosts[m.anyHost(t)]; h.up && !h.paused {
		_ = h.core.SetMetadata([]byte{byte(m.revision)})
	}
}

// Run advances the time. Run2 and Run3 make rapid choose it more often.
func (m *machine) Run(t *rapid.T) {
	m.counts["run"]++
	m.run(rapid.IntRange(1, 40).Draw(t, "periods"))
}
func (m *machine) Run2(t *rapid.T) { m.Run(t) }
func (m *machine) Run3(t *rapid.T) { m.Run(t) }

// Check verifies the invariants; rapid calls it after every step.
func (m *machine) Check(t *rapid.T) {
	if m.violations() > 0 {
		t.Fatalf("invariant violated: %v %v", m.events, m.err)
	}
	for _, h := range m.hosts {
		s := h.core.Snapshot()
		if s.Self.Process != h.process || s.Self.State != membership.Alive {
			t.Fatalf("%v adopted another host's entry about itself", h.address)
		}
	}
}

// settle ends all faults and returns the number of periods until all hosts agree.
func (m *machine) settle(t *rapid.T) int {
	heal(m.fleet)
	m.loss, m.dup, m.maxDelay = 0, 0, 6*time.Millisecond
	for i, h := range m.hosts {
		if h.paused {
			m.resume(i)
		}
	}
	m.setHostList(m.revision+1, m.live())
	n, done := m.runUntil(agreeBound, m.agreed)
	if !done {
		t.Fatalf("no agreement after %d periods: %s", agreeBound, m.disagreement())
	}
	m.Check(t)
	return n
}

// TestMain fixes the seed unless one is set by flag or RAPID_SEED. RAPID_CHECKS
// sets the number of runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestRandomFaults(t *testing.T) {
	counts := make(map[string]int)
	worst := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		m := &machine{fleet: newFleet(hostsInMachine, seed), revision: 1, counts: counts}
		rt.Repeat(rapid.StateMachineActions(m))
		worst = max(worst, m.settle(rt))
		counts["fleets"]++
	})
	t.Logf("%v; slowest agreement after the last fault: %d periods", counts, worst)
}

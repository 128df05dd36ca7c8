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

// agreeBound is how many periods after the last fault all must agree.
const agreeBound = 150

// machine applies random faults, any number at once, to a fleet.
type machine struct {
	*fleet
	revision uint64
	counts   map[string]int // steps of each kind, over all fleets
}

func (m *machine) any(t *rapid.T) int {
	return rapid.IntRange(0, hostsInMachine-1).Draw(t, "host")
}

func (m *machine) Kill(t *rapid.T) {
	m.counts["kill"]++
	m.hosts[m.any(t)].up = false
}

func (m *machine) Restart(t *rapid.T) {
	m.counts["restart"]++
	i := m.any(t)
	m.start(i)
	m.StaleList(t)
}

func (m *machine) Pause(t *rapid.T) {
	m.counts["pause"]++
	m.hosts[m.any(t)].paused = true
}

func (m *machine) Resume(t *rapid.T) {
	m.counts["resume"]++
	if i := m.any(t); m.hosts[i].paused {
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

// StaleList hands out a list that names some hosts, dead or alive.
func (m *machine) StaleList(t *rapid.T) {
	m.counts["stalelist"]++
	m.revision++
	m.list(m.revision, rapid.SliceOfDistinct(
		rapid.IntRange(0, hostsInMachine-1), rapid.ID[int]).Draw(t, "listed"))
}

func (m *machine) Metadata(t *rapid.T) {
	m.counts["metadata"]++
	if h := m.hosts[m.any(t)]; h.up && !h.paused {
		_ = h.core.SetMetadata([]byte{byte(m.revision)})
	}
}

// Run lets time pass; it is listed more than once to come up more often.
func (m *machine) Run(t *rapid.T) {
	m.counts["run"]++
	m.run(rapid.IntRange(1, 40).Draw(t, "periods"))
}
func (m *machine) Run2(t *rapid.T) { m.Run(t) }
func (m *machine) Run3(t *rapid.T) { m.Run(t) }

// Check holds after every step.
func (m *machine) Check(t *rapid.T) {
	if m.breaches() > 0 {
		t.Fatalf("invariant broken: %v %v", m.events, m.err)
	}
	for _, h := range m.hosts {
		s := h.core.Snapshot()
		if s.Self.Process != h.process || s.Self.State != membership.Alive {
			t.Fatalf("%v holds foreign news about itself", h.address)
		}
	}
}

// settle ends all faults and returns the periods until all agree.
func (m *machine) settle(t *rapid.T) int {
	heal(m.fleet)
	m.loss, m.dup, m.maxDelay = 0, 0, 6*time.Millisecond
	for i, h := range m.hosts {
		if h.paused {
			m.resume(i)
		}
	}
	m.list(m.revision+1, m.live())
	n, done := m.runUntil(agreeBound, m.agreed)
	if !done {
		t.Fatalf("no agreement: %s", m.disagreement())
	}
	m.Check(t)
	return n
}

// TestMain fixes the seed unless one is given, by flag or RAPID_SEED. The
// number of runs is RAPID_CHECKS.
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

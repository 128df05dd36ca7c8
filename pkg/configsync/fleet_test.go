package configsync

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// TestMain fixes the seed of rapid, unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func document(name string, n int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"match":{"path_prefix":"/%s/"},"groups":[{"name":"main","upstreams":[`+
		`{"id":"a-1","address":"127.0.0.1:9001","failure_domain":"d"}]}],`+
		`"rules":[{"name":"r","group":"main","repeat":"repeatable","deadline":"%dms"}]}`, name, name, n+1)
}

func newRealNode(s *simulation, m Member) subject {
	return NewNode(s.now, Options{Self: m, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), PeerTimeout: 2 * time.Second})
}

// naive is a faulty node: it adopts whatever it last read from the platform or
// received from a peer, even if it is older, and serves after its first read.
type naive struct {
	*Node
}

func newNaiveNode(s *simulation, m Member) subject {
	return naive{newRealNode(s, m).(*Node)}
}

func (n naive) ReadDone(now time.Time, a ReadResult) Effects {
	pending := n.read.pending
	for _, v := range a.Versions {
		n.overwrite(v)
	}
	if pending != nil && a.Revision < n.state.frontier {
		n.state.frontier = a.Revision // its next read starts there
		n.read.nextCall = now
	}
	e := n.Node.ReadDone(now, a)
	if !n.bootstrap.done {
		n.bootstrap.finish(n.Node, event.ConfigReady, "read once")
		e.Events = append(e.Events, n.takeEffects().Events...)
	}
	e.InForce = true
	return e
}

func (n naive) Receive(now time.Time, from string, m Message) Effects {
	if items, ok := m.(Items); ok {
		for _, it := range items.Versions {
			if v, ok := n.state.resolve(it); ok {
				n.overwrite(v)
			}
		}
	}
	e := n.Node.Receive(now, from, m)
	e.InForce = true
	return e
}

func (n naive) overwrite(v Version) {
	if service, err := validate(v); err == nil {
		e := n.state.entries[v.Key]
		if e == nil {
			return
		}
		before := e.hash(v.Key)
		e.newest, e.inForce, e.service = &v, &v, service
		n.state.buckets[bucketOf(v.Key)] ^= before ^ e.hash(v.Key)
	}
}

// totals are the counts over all runs of a test.
type totals struct {
	runs, steps, broken int
	faults              map[string]int
}

func (s totals) String() string {
	out := fmt.Sprintf("%d runs, %d steps, %d runs with a violation; faults:", s.runs, s.steps, s.broken)
	for _, k := range slices.Sorted(maps.Keys(s.faults)) {
		out += fmt.Sprintf(" %s %d", k, s.faults[k])
	}
	return out
}

// machine is a rapid state machine that draws operators' changes and faults.
type machine struct {
	*simulation
	t *rapid.T
}

func (m machine) pick() *host {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
}

func (m machine) key() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(m.t, "service")
}

func (m machine) actions() map[string]func(*rapid.T) {
	count := func(name string, f func()) func(*rapid.T) {
		return func(*rapid.T) {
			m.faults[name]++
			f()
		}
	}
	return map[string]func(*rapid.T){
		"publish": count("published", func() {
			name := m.key()
			m.platform.publish(KeyPrefix+name, false, document(name, m.rand.IntN(1000)))
		}),
		"delete":  count("deleted", func() { m.platform.publish(KeyPrefix+m.key(), true, nil) }),
		"invalid": count("invalid", func() { m.platform.publish(KeyPrefix+m.key(), false, []byte(`{"name":1}`)) }),
		"twin": count("same-revision", func() {
			name := m.key()
			v := m.platform.publish(KeyPrefix+name, false, document(name, m.rand.IntN(1000)))
			m.platform.conflicting[v.ID.Revision] = NewVersion(v.Key, v.ID.Revision, false, document(name, 1000+m.rand.IntN(1000)))
		}),
		"kill": count("killed", func() { m.pick().subject = nil }),
		"restart": count("restarted", func() {
			m.start(m.pick())
		}),
		"pause": count("paused", func() {
			h := m.pick()
			h.paused = true
			m.after(time.Duration(m.rand.Int64N(int64(20*time.Second))), func() { h.paused = false })
		}),
		"split": count("split", func() {
			for _, h := range m.hosts {
				h.partition = m.rand.IntN(2)
				h.clean = false
			}
		}),
		"heal": count("healed", func() {
			for _, h := range m.hosts {
				h.partition = 0
			}
		}),
		"network": count("network", func() {
			m.loss = float64(rapid.IntRange(0, 1).Draw(m.t, "loss")) * 0.3
			m.duplicate = float64(rapid.IntRange(0, 1).Draw(m.t, "double")) * 0.3
			m.delayed = float64(rapid.IntRange(0, 1).Draw(m.t, "late")) * 0.3
		}),
		"platform": count("platform", func() {
			m.platform.down = rapid.Bool().Draw(m.t, "down")
			m.platform.stale = rapid.Bool().Draw(m.t, "stale")
			m.platform.shown = rapid.IntRange(0, len(m.platform.history)).Draw(m.t, "shown")
		}),
		"": func(*rapid.T) { m.run(time.Duration(rapid.IntRange(50, 4000).Draw(m.t, "ms")) * time.Millisecond) },
	}
}

// healAndConverge ends all faults, starts stopped hosts and runs the fleet until it
// should have converged.
func (m machine) healAndConverge() {
	m.loss, m.duplicate, m.delayed = 0, 0, 0
	m.platform.down, m.platform.stale = false, false
	for _, h := range m.hosts {
		h.partition, h.paused = 0, false
		if h.subject == nil {
			m.start(h)
		}
	}
	m.run(45 * time.Second)
}

// raiseToPlatform raises floor to the platform's newest version of each key that
// is valid. Older versions may have been missed between two reads.
func (m machine) raiseToPlatform(floor map[string]ID) {
	newest := make(map[string]Version)
	for _, v := range m.platform.history {
		newest[v.Key] = v
	}
	for key, v := range newest {
		if _, err := validate(v); err == nil && v.ID.Revision > floor[key].Revision {
			floor[key] = ID{Revision: v.ID.Revision}
		}
	}
}

// checkConverged describes the first host that differs from the others, or
// returns an empty string.
func (m machine) checkConverged() string {
	for _, h := range m.hosts {
		s := h.State()
		if !h.Ready() || s.Digest() != m.hosts[0].State().Digest() || s.Frontier() != uint64(len(m.platform.history)) {
			return h.Address + " differs"
		}
	}
	return ""
}

func runFleet(t *rapid.T, sum *totals, create func(*simulation, Member) subject) string {
	seed := rapid.Uint64().Draw(t, "seed")
	size := rapid.IntRange(3, 18).Draw(t, "hosts")
	m := machine{newSimulation(seed, size, 3, create), t}
	m.platform.conflicting = make(map[uint64]Version)
	for _, h := range m.hosts {
		m.start(h)
	}
	m.run(5 * time.Second)
	t.Repeat(m.actions())
	best := make(map[string]ID)
	for _, h := range m.hosts {
		if h.subject != nil {
			raise(best, h.State())
		}
	}
	m.raiseToPlatform(best)
	m.healAndConverge()
	problem := m.checkConverged()
	for _, h := range m.hosts {
		m.check(h, best, "lost a version")
	}
	if problem != "" {
		m.violations = append(m.violations, problem)
	}
	sum.runs++
	sum.steps += m.seq
	for k, v := range m.faults {
		sum.faults[k] += v
	}
	if len(m.violations) == 0 {
		return ""
	}
	sum.broken++
	return m.violations[0]
}

// TestFleetNeverRegresses runs real nodes under random faults. It guards against
// hosts whose current version of a document goes back, that serve an older version
// than a reachable peer, or that do not converge. The flags -rapid.checks and
// -rapid.seed vary it, as `make long-config` does.
func TestFleetNeverRegresses(t *testing.T) {
	sum := totals{faults: make(map[string]int)}
	rapid.Check(t, func(rt *rapid.T) {
		if violation := runFleet(rt, &sum, newRealNode); violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Log(sum)
}

// TestNaiveFleetRegresses checks that the simulation of TestFleetNeverRegresses
// detects the faults it is meant to find: naive hosts adopt stale reads and do not
// order two versions with the same revision.
func TestNaiveFleetRegresses(t *testing.T) {
	is := is.New(t)
	sum := totals{faults: make(map[string]int)}
	rapid.Check(t, func(rt *rapid.T) { _ = runFleet(rt, &sum, newNaiveNode) })
	t.Log(sum)
	is.True(sum.broken > sum.runs/10) // the simulation detects the naive variant
	is.True(sum.faults["VIOLATION regressed"] > 0)
	is.True(sum.faults["VIOLATION started older than a peer"] > 0)
}

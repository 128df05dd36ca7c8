package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

const (
	publishes    = 40
	replaceEvery = 4 // publishes; even, for the platform is to fail meanwhile
	platformLag  = 300 * time.Millisecond
)

// numbered is the fleet's document with a path that only version n serves.
func numbered(f *fleet, n int) *config.Service {
	doc := f.document()
	doc.Match.PathPrefix = fmt.Sprintf("/v%d/", n)
	return doc
}

// serves reports whether an entry host serves version n.
func serves(f *fleet, e *entryHost, n int) bool {
	return f.get(fmt.Sprintf("http://%s/v%d/lot", e.caller, n)) == nil
}

// platformFaults are what may befall the platform once the first entry host
// has a new revision.
var platformFaults = []struct {
	name   string
	faults func(revision uint64) standin.Faults
}{
	{"stale", func(r uint64) standin.Faults { return standin.Faults{Stale: true, StaleAt: r - 1} }},
	{"old snapshot", func(uint64) standin.Faults { return standin.Faults{Stale: true, StaleAt: 2} }},
	{"empty", func(uint64) standin.Faults { return standin.Faults{Stale: true} }},
	{"down", func(uint64) standin.Faults { return standin.Faults{Down: true} }},
}

// oldAnswers is the number of the first platformFaults, which are old answers.
const oldAnswers = 3

func TestConfigurationNeverFallsBack(t *testing.T) {
	f := newFleet(t, 2, entryHosts)
	w := newWatcher(f)
	done := make(chan struct{})
	watching := make(chan struct{})
	go func() { w.run(done); close(watching) }()
	f.waitFor("first revision", func() bool { return w.has(w.all(), 1) })

	run := &publishing{fleet: f, watcher: w}
	for n := 1; n <= times(publishes); n++ {
		run.publish(n)
	}
	run.badDocument()
	f.faults(standin.Faults{})
	f.waitFor("last revision on all", func() bool { return w.has(w.all(), run.revision) })
	close(done)
	<-watching
	w.check(t)
	report(t, "healthy or lagging platform", run.healthy)
	report(t, "platform fails after the first host has it", run.faulty)
	for _, e := range f.entries {
		if !serves(f, e, run.last) {
			t.Errorf("%s does not serve the last version", e.caller)
		}
		if serves(f, e, run.last-1) {
			t.Errorf("%s serves the version before", e.caller)
		}
	}
}

// publishing publishes one version after the other under faults.
type publishing struct {
	fleet    *fleet
	watcher  *watcher
	last     int
	revision uint64
	next     int // entry host to replace
	healthy  []time.Duration
	faulty   []time.Duration
}

// publish publishes version n. With every second one the platform fails as
// soon as one host has it, and with every fourth two hosts are replaced while
// it does, so that what they are told by the platform is old.
func (p *publishing) publish(n int) {
	f, w := p.fleet, p.watcher
	f.faults(standin.Faults{})
	if n%4 == 1 {
		f.faults(standin.Faults{Lag: config.Duration(platformLag)})
	}
	start := time.Now()
	p.last, p.revision = n, f.publish(numbered(f, n))
	if n%2 == 1 {
		p.await()
		p.healthy = append(p.healthy, time.Since(start))
		return
	}
	f.waitFor("first host", func() bool { return w.anyHas(p.revision) })
	f.faults(platformFaults[n/2%len(platformFaults)].faults(p.revision))
	p.await()
	p.faulty = append(p.faulty, time.Since(start))
	if n%replaceEvery == 0 {
		f.faults(platformFaults[n/replaceEvery%oldAnswers].faults(p.revision))
		p.replace(2)
	}
}

// replace replaces some hosts and waits until all serve by the newest revision.
func (p *publishing) replace(hosts int) {
	for range hosts {
		p.watcher.replace(p.next)
		p.next = (p.next + 5) % len(p.watcher.hosts)
	}
	p.fleet.waitFor("replaced hosts", func() bool { return p.watcher.has(p.watcher.all(), p.revision) })
}

// await waits until the newest revision is in force on every host that serves.
func (p *publishing) await() {
	p.fleet.waitFor("in force on all", func() bool {
		hosts := p.watcher.serving()
		return len(hosts) > 0 && p.watcher.has(hosts, p.revision)
	})
}

// badDocument publishes documents that are no valid ones, and replaces a host
// that then can't have the last one from the platform.
func (p *publishing) badDocument() {
	f, w := p.fleet, p.watcher
	f.waitFor("all serve", func() bool { return w.has(w.all(), p.revision) })
	for _, bad := range []string{`{"name": "ledger"}`, `{"name": "ledger", "colour": 1}`, `"text"`, `{"name": "other"}`} {
		f.put("/v1/config/services/ledger", json.RawMessage(bad))
	}
	time.Sleep(time.Second)
	p.replace(1)
	for _, e := range f.entries {
		if !serves(f, e, p.last) {
			f.t.Errorf("%s gave up the valid version", e.caller)
		}
	}
}

func report(t *testing.T, what string, took []time.Duration) {
	t.Helper()
	slices.Sort(took)
	t.Logf("%s: %d publishes, in force on all that serve: p50 %s, max %s", what, len(took),
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

func TestRestartedHostLearnsFromPeersWhileThePlatformIsStale(t *testing.T) {
	parallel(t)
	f := newFleet(t, 2, entryHosts)
	newest := f.publish(numbered(f, 1))
	f.waitFor("version 1 on all", func() bool {
		return !slices.ContainsFunc(f.entries, func(e *entryHost) bool { return !serves(f, e, 1) })
	})
	for _, stale := range []standin.Faults{{Stale: true, StaleAt: newest - 1}, {Stale: true}, {Down: true}} {
		f.faults(stale)
		for _, e := range f.entries[:3] {
			e.kill()
			f.restart(e)
		}
		for _, e := range f.entries[:3] {
			f.waitReady(e)
			if status := f.status(e, "/v1/lot"); status != http.StatusOK {
				t.Errorf("%s answers %d by the newest version under %+v", e.caller, status, stale)
			}
			if status := f.status(e, "/ledger/lot"); status == http.StatusOK {
				t.Errorf("%s serves the version before under %+v", e.caller, stale)
			}
		}
	}
}

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
	publishes       = 40
	replaceInterval = 4 // publishes; even, because the platform fails only during even publishes
	platformLag     = 300 * time.Millisecond
)

// versionedDocument returns the fleet's document with a path that only version n serves.
func versionedDocument(f *fleet, n int) *config.Service {
	doc := f.document()
	doc.Match.PathPrefix = fmt.Sprintf("/v%d/", n)
	return doc
}

// serves reports whether an entry host serves version n.
func serves(f *fleet, e *entryHost, n int) bool {
	return f.get(fmt.Sprintf("http://%s/v%d/lot", e.caller, n)) == nil
}

// platformFaults are the faults of the platform that begin once the first entry host has
// applied a new revision.
var platformFaults = []struct {
	name   string
	faults func(revision uint64) standin.Faults
}{
	{"stale", func(r uint64) standin.Faults { return standin.Faults{Stale: true, StaleAt: r - 1} }},
	{"old snapshot", func(uint64) standin.Faults { return standin.Faults{Stale: true, StaleAt: 2} }},
	{"empty", func(uint64) standin.Faults { return standin.Faults{Stale: true} }},
	{"down", func(uint64) standin.Faults { return standin.Faults{Down: true} }},
}

// staleFaults is the number of platformFaults, from the first, that return outdated responses.
const staleFaults = 3

// TestConfigurationNeverRegresses publishes versions while the platform is stale or down and
// entry hosts are replaced. No entry host may serve by an older revision than before.
func TestConfigurationNeverRegresses(t *testing.T) {
	f := newFleet(t, 2, entryHosts)
	w := newWatcher(f)
	done := make(chan struct{})
	watching := make(chan struct{})
	go func() { w.run(done); close(watching) }()
	f.waitFor("first revision", func() bool { return w.has(w.all(), 1) })

	run := &publishRun{fleet: f, watcher: w}
	for n := 1; n <= scaled(publishes); n++ {
		run.publish(n)
	}
	run.publishInvalid()
	f.faults(standin.Faults{})
	f.waitFor("last revision on all", func() bool { return w.has(w.all(), run.revision) })
	close(done)
	<-watching
	w.check(t)
	logDelays(t, "healthy or lagging platform", run.healthy)
	logDelays(t, "platform fails after the first host has applied it", run.faulty)
	for _, e := range f.entries {
		if !serves(f, e, run.last) {
			t.Errorf("%s does not serve the last version", e.caller)
		}
		if serves(f, e, run.last-1) {
			t.Errorf("%s serves the previous version", e.caller)
		}
	}
}

// publishRun publishes successive versions under faults.
type publishRun struct {
	fleet    *fleet
	watcher  *watcher
	last     int
	revision uint64
	next     int // entry host to replace
	healthy  []time.Duration
	faulty   []time.Duration
}

// publish publishes version n. On every second version the platform fails as soon as one
// host has applied it, and on every fourth two hosts are replaced during that failure, so
// that the platform returns outdated responses to them.
func (p *publishRun) publish(n int) {
	f, w := p.fleet, p.watcher
	f.faults(standin.Faults{})
	if n%4 == 1 {
		f.faults(standin.Faults{Lag: config.Duration(platformLag)})
	}
	start := time.Now()
	p.last, p.revision = n, f.publish(versionedDocument(f, n))
	if n%2 == 1 {
		p.waitApplied()
		p.healthy = append(p.healthy, time.Since(start))
		return
	}
	f.waitFor("first host", func() bool { return w.anyHas(p.revision) })
	f.faults(platformFaults[n/2%len(platformFaults)].faults(p.revision))
	p.waitApplied()
	p.faulty = append(p.faulty, time.Since(start))
	if n%replaceInterval == 0 {
		f.faults(platformFaults[n/replaceInterval%staleFaults].faults(p.revision))
		p.replace(2)
	}
}

// replace replaces the given number of hosts and waits until all serve by the newest revision.
func (p *publishRun) replace(hosts int) {
	for range hosts {
		p.watcher.replace(p.next)
		p.next = (p.next + 5) % len(p.watcher.hosts)
	}
	p.fleet.waitFor("replaced hosts", func() bool { return p.watcher.has(p.watcher.all(), p.revision) })
}

// waitApplied waits until every host that serves has applied the newest revision.
func (p *publishRun) waitApplied() {
	p.fleet.waitFor("newest revision on all", func() bool {
		hosts := p.watcher.serving()
		return len(hosts) > 0 && p.watcher.has(hosts, p.revision)
	})
}

// publishInvalid publishes invalid documents and then replaces a host, which can't read the
// last valid document from the platform any more.
func (p *publishRun) publishInvalid() {
	f, w := p.fleet, p.watcher
	f.waitFor("all serve", func() bool { return w.has(w.all(), p.revision) })
	for _, bad := range []string{`{"name": "ledger"}`, `{"name": "ledger", "colour": 1}`, `"text"`, `{"name": "other"}`} {
		f.put("/v1/config/services/ledger", json.RawMessage(bad))
	}
	time.Sleep(time.Second)
	p.replace(1)
	for _, e := range f.entries {
		if !serves(f, e, p.last) {
			f.t.Errorf("%s no longer serves the valid version", e.caller)
		}
	}
}

func logDelays(t *testing.T, what string, took []time.Duration) {
	t.Helper()
	slices.Sort(took)
	t.Logf("%s: %d publishes, time until all serving hosts applied them: p50 %s, max %s", what, len(took),
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

func TestRestartedHostSyncsFromPeersWhileThePlatformIsStale(t *testing.T) {
	parallel(t)
	f := newFleet(t, 2, entryHosts)
	newest := f.publish(versionedDocument(f, 1))
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
				t.Errorf("%s returns status %d for the newest version under %+v", e.caller, status, stale)
			}
			if status := f.status(e, "/ledger/lot"); status == http.StatusOK {
				t.Errorf("%s serves the previous version under %+v", e.caller, stale)
			}
		}
	}
}

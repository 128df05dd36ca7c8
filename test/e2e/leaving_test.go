package e2e

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// setLeaving makes an upstream announce that it is leaving, or stop doing so.
func (f *fleet) setLeaving(addr string, leaving bool) {
	f.t.Helper()
	f.configure(addr, "/_leaving?say="+strconv.FormatBool(leaving))
}

// configure changes the behaviour of an upstream.
func (f *fleet) configure(addr, target string) {
	f.t.Helper()
	resp, err := f.client.Post("http://"+addr+target, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("%s: %s", addr, resp.Status)
	}
}

// sendLookups sends lookups through each of the entry hosts and returns how many requests
// reached the upstream at addr meanwhile.
func (f *fleet) sendLookups(hosts []*entryHost, each int, addr string) int64 {
	f.t.Helper()
	before := f.served(addr)
	var wg sync.WaitGroup
	for _, e := range hosts {
		wg.Go(func() {
			for range each {
				_ = f.get("http://" + e.caller + "/ledger/lot")
			}
		})
	}
	wg.Wait()
	return f.served(addr) - before
}

// newRandomFleet starts a fleet whose entry hosts all use every upstream, so that a host that
// considers a leaving upstream active is certain to send requests to it.
func newRandomFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 4, entryHosts)
	f.policy = "random"
	f.publish(f.document())
	for _, e := range f.entries {
		for _, addr := range f.upstreams {
			f.waitFor(e.caller+" uses "+addr, func() bool { return f.sendLookups([]*entryHost{e}, 4, addr) > 0 })
		}
	}
	return f
}

// announceLeaving makes an upstream announce that it is leaving, and sends lookups through
// one entry host until a request has reached it.
func (f *fleet) announceLeaving(e *entryHost, addr string) {
	f.t.Helper()
	f.setLeaving(addr, true)
	f.waitFor("response that announces leaving", func() bool { return f.sendLookups([]*entryHost{e}, 10, addr) > 0 })
}

const (
	lookupsEach  = 40 // with four upstreams, a host that considers one active sends to it
	leaveTimeout = 3 * time.Second
)

// requireNoRequests fails the test if a lookup through any of the hosts reaches the upstream.
func (f *fleet) requireNoRequests(hosts []*entryHost, addr, when string) {
	f.t.Helper()
	if n := f.sendLookups(hosts, lookupsEach, addr); n != 0 {
		f.t.Errorf("%s: %d requests reached the leaving upstream", when, n)
	}
}

// TestUpstreamThatAnnouncesLeavingGetsNothingNew lets a single entry host receive the
// announcement from the upstream; the others must learn of it from their peers.
func TestUpstreamThatAnnouncesLeavingGetsNothingNew(t *testing.T) {
	parallel(t)
	f := newRandomFleet(t)
	leaving := f.upstreams[0]
	f.announceLeaving(f.entries[0], leaving)
	time.Sleep(leaveTimeout)
	f.requireNoRequests(f.entries, leaving, "after the time limit")

	// Only a new activation reactivates the upstream: not a new document, not a stale
	// platform, not a host that restarted without state.
	doc := f.document()
	doc.Rules[1].Priority = config.PriorityHigh
	f.publish(doc)
	time.Sleep(time.Second)
	f.requireNoRequests(f.entries, leaving, "after an unrelated change")
	f.faults(standin.Faults{Stale: true, StaleAt: 1})
	for _, e := range f.entries[1:4] {
		e.kill()
		f.restart(e)
	}
	for _, e := range f.entries[1:4] {
		f.waitReady(e)
		f.requireNoRequests([]*entryHost{e}, leaving, "through a host that restarted on a stale platform")
	}
	f.faults(standin.Faults{Down: true})
	e := f.entries[5]
	e.kill()
	f.restart(e)
	f.waitReady(e)
	f.requireNoRequests(f.entries, leaving, "with the platform down")

	f.faults(standin.Faults{})
	f.setLeaving(leaving, false)
	doc.Groups[0].Upstreams[0].Activation = 1
	f.publish(doc)
	f.waitFor("the upstream is back", func() bool { return f.sendLookups(f.entries, 4, leaving) > 0 })
}

func TestUpstreamLeavesWhileThePlatformIsDown(t *testing.T) {
	parallel(t)
	f := newRandomFleet(t)
	f.faults(standin.Faults{Down: true})
	leaving := f.upstreams[1]
	f.announceLeaving(f.entries[3], leaving)
	time.Sleep(leaveTimeout)
	f.requireNoRequests(f.entries, leaving, "after the time limit")
	f.faults(standin.Faults{Stale: true, StaleAt: 1})
	time.Sleep(time.Second)
	f.requireNoRequests(f.entries, leaving, "with a stale platform")
}

// TestResumedHostSendsNothingToLeavingUpstream pauses hosts while an upstream announces that
// it is leaving. A resumed host must not act on its outdated state.
func TestResumedHostSendsNothingToLeavingUpstream(t *testing.T) {
	parallel(t)
	f := newRandomFleet(t)
	leaving := f.upstreams[2]
	paused := f.entries[6:10]
	for _, e := range paused {
		e.signal(syscall.SIGSTOP)
	}
	f.announceLeaving(f.entries[0], leaving)
	time.Sleep(2 * leaveTimeout)
	before := f.served(leaving)
	var wg sync.WaitGroup
	for _, e := range paused {
		wg.Go(func() { f.sendWhileResuming(e) })
	}
	wg.Wait()
	if n := f.served(leaving) - before; n != 0 {
		t.Errorf("%d requests reached the leaving upstream through resumed hosts", n)
	}
	f.requireNoRequests(f.entries, leaving, "after they resumed")
}

// sendWhileResuming sends lookups to a paused host, resumes it and sends more. The lookups
// may be refused.
func (f *fleet) sendWhileResuming(e *entryHost) {
	var wg sync.WaitGroup
	for range lookupsEach {
		wg.Go(func() { _ = f.get("http://" + e.caller + "/ledger/lot") })
	}
	time.Sleep(100 * time.Millisecond)
	e.signal(syscall.SIGCONT)
	for range lookupsEach {
		_ = f.get("http://" + e.caller + "/ledger/lot")
	}
	wg.Wait()
}

// TestHostsThatStartTogetherSendNothingToLeavingUpstream restarts most hosts at once after an
// upstream announced that it is leaving. They have no state to send to each other and must
// learn of it from the remaining hosts.
func TestHostsThatStartTogetherSendNothingToLeavingUpstream(t *testing.T) {
	parallel(t)
	f := newRandomFleet(t)
	leaving := f.upstreams[2]
	f.announceLeaving(f.entries[0], leaving)
	time.Sleep(leaveTimeout)
	before := f.served(leaving)
	started := f.entries[2:10]
	for _, e := range started {
		e.kill()
	}
	for _, e := range started {
		f.restart(e)
	}
	var wg sync.WaitGroup
	for _, e := range started {
		wg.Go(func() {
			f.checkReady(e)
			for range lookupsEach {
				_ = f.get("http://" + e.caller + "/ledger/lot")
			}
		})
	}
	wg.Wait()
	if n := f.served(leaving) - before; n != 0 {
		t.Errorf("%d requests reached the leaving upstream through restarted hosts", n)
	}
	f.requireNoRequests(f.entries, leaving, "after they started")
}

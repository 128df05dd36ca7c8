package e2e

import (
	"net/url"
	"testing"
	"time"
)

// setBackoff makes an upstream reject requests and ask for a backoff; with an empty value it
// serves again.
func (f *fleet) setBackoff(addr, value string) {
	f.t.Helper()
	f.configure(addr, "/_rest?say="+url.QueryEscape(value))
}

// TestUpstreamThatAsksForRest checks that a host whose request was rejected sends nothing to
// the upstream during the requested backoff, that the other upstreams serve the callers, and
// that the upstream is used again afterwards. When an upstream begins to reject requests, each
// host may have two requests in flight there at once.
func TestUpstreamThatAsksForRest(t *testing.T) {
	parallel(t)
	f := newRandomFleet(t)
	addr := f.upstreams[0]
	f.setBackoff(addr, "3")
	if n := f.sendLookups(f.entries, lookupsEach, addr); n == 0 || n > int64(2*len(f.entries)) {
		t.Errorf("%d requests reached the upstream while %d hosts learned of its backoff", n, len(f.entries))
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if n := f.sendLookups(f.entries, lookupsEach, addr); n != 0 {
			t.Errorf("%d requests reached the upstream during its backoff", n)
		}
	}
	for _, e := range f.entries {
		if err := f.get("http://" + e.caller + "/ledger/lot"); err != nil {
			t.Errorf("not served while an upstream is backing off: %v", err)
		}
	}
	f.setBackoff(addr, "")
	for _, e := range f.entries {
		f.waitFor(e.caller+" uses it again", func() bool { return f.sendLookups([]*entryHost{e}, 4, addr) > 0 })
	}
}

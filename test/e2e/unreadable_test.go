package e2e

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// TestUnreadableDocumentIsKnown guards against a service document that entry hosts can't read and treat as absent:
// its requests were taken by another service, or refused as unknown. It is published at a start, replaced, changed to
// one that can't be read, and deleted; one host hears of it from its peers after a restart.
func TestUnreadableDocumentIsKnown(t *testing.T) {
	parallel(t)
	f := newFleet(t, 2, entryHosts)
	base := f.document()
	base.Name, base.Match.PathPrefix = "base", "/"
	f.publish(base)
	const key = "/v1/config/services/renewals"
	unreadable := json.RawMessage(`{"name": "renewals", "match": {"path_prefix": "/renew/"}, "rules": "none"}`)
	expect := func(what string, renewals int) {
		t.Helper()
		for _, e := range f.entries {
			f.waitFor(what+" at "+e.caller, func() bool { return f.status(e, "/renew/lot") == renewals })
			for _, path := range []string{"/other/lot", "/ledger/lot"} {
				if got := f.status(e, path); got != http.StatusOK {
					t.Errorf("%s: %s at %s got %d", what, path, e.caller, got)
				}
			}
		}
	}
	expect("without it", http.StatusOK) // by the service for all paths
	f.put(key, unreadable)
	expect("added", http.StatusServiceUnavailable)
	e := f.entries[0]
	e.kill()
	f.restart(e)
	f.waitReady(e)
	expect("after a restart", http.StatusServiceUnavailable)
	renewals := f.document()
	renewals.Name, renewals.Match.PathPrefix = "renewals", "/renew/"
	renewals.Rules = []config.Rule{{Name: "none", Methods: []string{"DELETE"}, Group: "main", Repeat: config.NonRepeatable}}
	renewals.SetDefaults()
	f.publish(renewals)
	expect("read again", http.StatusNotFound) // it has no rule for GET
	f.put(key, unreadable)
	expect("changed", http.StatusNotFound) // the last valid version stays
	req, _ := http.NewRequest(http.MethodDelete, f.platform+key, nil)
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	expect("deleted", http.StatusOK)
}

package e2e

import (
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"
)

// Tolerances for the requests that an upstream with a limit receives.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitSettleTime is the time after which hosts keep a limit that was announced for the
	// first time.
	limitSettleTime = 3 * time.Second
)

// setLimit makes an upstream announce a limit; with an empty limit it announces none.
func (f *fleet) setLimit(addr, limit string) {
	f.t.Helper()
	f.configure(addr, "/_limit?say="+url.QueryEscape(limit))
}

// sample is the number of requests that an upstream had received at a point in time.
type sample struct {
	at     time.Time
	served int64
}

// maxInWindow returns the highest number of requests between two samples that are at most
// limitWindow apart.
func maxInWindow(samples []sample) int64 {
	var most int64
	for i, first := range samples {
		for _, last := range samples[i:] {
			if last.at.Sub(first.at) <= limitWindow {
				most = max(most, last.served-first.served)
			}
		}
	}
	return most
}

// TestUpstreamThatNamesALimit checks that an upstream gets no more requests from all hosts
// together than the limit that it announces, within the tolerances above, that the other
// upstreams serve the callers, and that the upstream is used as before soon after it stops
// announcing a limit.
func TestUpstreamThatNamesALimit(t *testing.T) {
	parallel(t)
	const perSecond = 1.5
	f := newRandomFleet(t)
	addr := f.upstreams[0]
	f.setLimit(addr, fmt.Sprint(perSecond))
	load := func(lasts time.Duration) (samples []sample) {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			f.sendLookups(f.entries, 3, addr)
			samples = append(samples, sample{time.Now(), f.served(addr)})
		}
		return samples
	}
	load(limitSettleTime)
	samples := load(2 * limitWindow)
	allowed := int64(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
	most, all := maxInWindow(samples), samples[len(samples)-1].served-samples[0].served
	t.Logf("at most %d requests in %v, %d allowed; %d in %v", most, limitWindow, allowed, all, 2*limitWindow)
	if most > allowed {
		t.Errorf("the upstream got %d requests in %v; %d are allowed", most, limitWindow, allowed)
	}
	if all < int64(perSecond*limitWindow.Seconds()) {
		t.Errorf("the upstream got only %d requests in %v; its limit is %v per second", all, 2*limitWindow, perSecond)
	}
	for _, e := range f.entries {
		if err := f.get("http://" + e.caller + "/ledger/lot"); err != nil {
			t.Errorf("not served while an upstream announces a limit: %v", err)
		}
	}
	f.setLimit(addr, "")
	load(2 * time.Second) // the hosts learn of the end of the limit from a response
	if n := f.sendLookups(f.entries, lookupsEach, addr); n < int64(len(f.entries)*lookupsEach/len(f.upstreams)/2) {
		t.Errorf("the upstream got %d of %d requests after its limit ended", n, len(f.entries)*lookupsEach)
	}
}

// TestAllUpstreamsNameLimits sends all requests to one host, which borrows the time slots of
// the others. The combined limit of the upstreams must be used, and a refused request must be
// answered at once with the error kind and a Retry-After.
func TestAllUpstreamsNameLimits(t *testing.T) {
	parallel(t)
	const perSecond, lasts = 4.0, 8 * time.Second
	f := newRandomFleet(t)
	for _, addr := range f.upstreams {
		f.setLimit(addr, fmt.Sprint(perSecond))
	}
	f.sendLookups(f.entries, lookupsEach, f.upstreams[0])
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all sync.WaitGroup
	statuses := make(map[int]int)
	unexplained, slow := 0, 0
	one := f.entries[0].caller
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		all.Go(func() {
			began := time.Now()
			resp, err := http.Get("http://" + one + "/ledger/lot")
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
			if resp.StatusCode != http.StatusServiceUnavailable {
				return
			}
			if resp.Header.Get("Dapplespindle-Error") != "upstreams-limited" || resp.Header.Get("Retry-After") == "" {
				unexplained++
			}
			if time.Since(began) > 500*time.Millisecond {
				slow++
			}
		})
	}
	all.Wait()
	capacity := perSecond * float64(len(f.upstreams)) * lasts.Seconds()
	t.Logf("by status: %v; the upstreams allow %v", statuses, capacity)
	if used := float64(statuses[http.StatusOK]) / capacity; used < 0.7 || used > limitOverage {
		t.Errorf("%.2f of the combined limit is used", used)
	}
	if unexplained > 0 || slow > 0 {
		t.Errorf("%d requests were refused without the error kind or Retry-After, %d were refused late", unexplained, slow)
	}
}

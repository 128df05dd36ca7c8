package proxy

import (
	"context"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// maxAllocations bounds the allocations of a request with one attempt, including those
// for the test's request and response.
const maxAllocations = 18

func TestRequestAllocations(t *testing.T) {
	is := is.New(t)
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return ok(), nil
	})
	p := newProxy(service(10, lookup()), leastOutstanding, sender, event.Discard{})
	n := testing.AllocsPerRun(100, func() { p.Serve(context.Background(), request("GET")) })
	t.Logf("%.0f allocations", n)
	is.True(n <= maxAllocations)
}

// TestStoredResponseDoesNotRetainRequest protects the memory bound of stored responses: the
// body of a request must be collectable once the request has its response.
func TestStoredResponseDoesNotRetainRequest(t *testing.T) {
	is := is.New(t)
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return ok(), nil
	})
	p := newProxy(service(1, sale()), leastOutstanding, sender, event.Discard{})
	req := request("POST")
	req.Body = make([]byte, 1<<20)
	gone := weak.Make(req)
	resp := p.Serve(context.Background(), req)
	req = nil
	runtime.GC()
	is.True(gone.Value() == nil) // nothing references the request
	is.Equal(resp.Header[HeaderUpstream], []string{"up-1"})
	runtime.KeepAlive(resp)
	runtime.KeepAlive(p)
}

// TestEachAttemptHasItsOwnHeader runs two concurrent attempts of a request and a third one
// after them. The header of an attempt must not change while it runs.
func TestEachAttemptHasItsOwnHeader(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var sends []string
	both := make(chan struct{})
	sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		before := req.Header.Clone()
		n := req.Header.Get(HeaderAttempt)
		mu.Lock()
		sends = append(sends, n)
		mu.Unlock()
		switch n {
		case "1":
			<-both
		case "2":
			close(both)
		}
		is.Equal(req.Header, before)
		is.Equal(req.Header["X-Forwarded-For"], []string{"10.0.0.1", "10.0.0.9"})
		is.Equal(req.Header["Via"], []string{"1.0 before", "1.1 dapplespindle"})
		if n != "3" {
			return refusal(), nil
		}
		return ok(), nil
	})
	rule := lookup()
	rule.Retry.HedgeAfter = config.Duration(time.Millisecond)
	rule.Retry.MaxAttempts = 3
	rule.Retry.BudgetPercent = 100
	p := newProxy(service(4, rule), leastOutstanding, sender, event.Discard{})
	for _, rs := range p.state.Load().rules {
		for range 100 {
			rs.next().budget.RecordFirst() // fills the budget
		}
	}
	req := request("GET")
	req.Header = http.Header{"X-Forwarded-For": {"10.0.0.1"}, "Via": {"1.0 before"}}
	is.Equal(p.Serve(t.Context(), req).Status, http.StatusOK)
	slices.Sort(sends)
	is.Equal(sends, []string{"1", "2", "3"})
}

func TestCallerIP(t *testing.T) {
	is := is.New(t)
	for remote, want := range map[string]string{
		"10.0.0.9:4711": "10.0.0.9", "[2001:db8::1]:80": "2001:db8::1", "[fe80::1%eth0]:80": "fe80::1%eth0",
		"": "", "10.0.0.9": "", "host:80": "", "10.0.0.9:port": "", "10.0.0.9, 10.0.0.8:80": "",
	} {
		is.Equal(callerIP(remote), want)
	}
}

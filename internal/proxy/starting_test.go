package proxy

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// startingProxy returns a proxy without a configuration.
func startingProxy() *Proxy {
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return ok(), nil
	})
	return New("127.0.0.1", "test", sender, &recorder{}, WithRandom(seeded(1)), WithStartupQueue())
}

// TestRequestsWaitForFirstConfiguration checks that requests that arrive while a host starts
// are served once the configuration arrives. Callers retry at all hosts of a fleet at the
// moment when they start.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startingProxy()
		start := time.Now()
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				resp := p.Serve(t.Context(), request("GET"))
				is.Equal(resp.Status, http.StatusOK)
				is.Equal(time.Since(start), 120*time.Millisecond)
			})
		}
		time.Sleep(120 * time.Millisecond)
		p.SetTable(routing.Compile(1, []*config.Service{service(40, lookup())}, groupsFunc(leastOutstanding)))
		all.Wait()
		is.Equal(p.starting.waiting.Load(), int64(0))
	})
}

// TestStartWithoutConfiguration checks that requests wait at most maxStartWait, and only
// within startWindow; later ones are refused at once. Retry-After is short while the host
// starts.
func TestStartWithoutConfiguration(t *testing.T) {
	for _, test := range []struct {
		name       string
		after      time.Duration // when the request arrives
		waits      time.Duration
		retryAfter time.Duration // maximum
	}{
		{"early", 0, maxStartWait, limit.RetryAfterStart(math.MaxUint64)},
		{"at the end of the first second", startWindow - 50*time.Millisecond, 50 * time.Millisecond, 2 * time.Second},
		{"later", startWindow, 0, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := startingProxy()
				time.Sleep(test.after)
				start := time.Now()
				resp := p.Serve(t.Context(), request("GET"))
				is.Equal(resp.Status, http.StatusServiceUnavailable)
				is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
				is.Equal(time.Since(start), test.waits)
				ms, err := strconv.Atoi(resp.Header.Get(HeaderRetryAfterMs))
				is.NoErr(err)
				is.True(time.Duration(ms)*time.Millisecond <= test.retryAfter)
			})
		})
	}
}

// TestStartWaitIsBounded checks the bound on waiting requests, and that a request whose
// caller has gone does not wait.
func TestStartWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := startingProxy()
		start := time.Now()
		var all sync.WaitGroup
		for range maxStartWaiters {
			all.Go(func() { p.Serve(t.Context(), request("GET")) })
		}
		synctest.Wait()
		is.Equal(p.Serve(t.Context(), request("GET")).Status, http.StatusServiceUnavailable)
		is.Equal(time.Since(start), time.Duration(0))
		all.Wait()
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		start = time.Now()
		p.Serve(gone, request("GET"))
		is.Equal(time.Since(start), time.Duration(0))
	})
}

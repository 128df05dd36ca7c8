package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// TestFailures fails every attempt in the same way, and checks the number of attempts and the
// response.
func TestFailures(t *testing.T) {
	plain503 := &httpwire.Response{Status: http.StatusServiceUnavailable}
	tests := []struct {
		name    string
		method  string
		resp    *httpwire.Response
		kind    errkind.Kind
		sends   int
		status  int
		outcome string
	}{
		{"lookup, connect failed", "GET", nil, errkind.ConnectFailed, 2, 503, "not-run"},
		{"lookup, broken", "GET", nil, errkind.UpstreamBroken, 2, 502, "unknown"},
		{"lookup, refused", "GET", refusal(), errkind.None, 2, 503, "not-run"},
		{"lookup, deadline after send", "GET", nil, errkind.DeadlineAfterSend, 1, 504, "unknown"},
		{"lookup, plain 503", "GET", plain503, errkind.None, 1, 503, "ran"},
		{"sale, connect failed", "POST", nil, errkind.ConnectFailed, 2, 503, "not-run"},
		{"sale, refused", "POST", refusal(), errkind.None, 2, 503, "not-run"},
		{"sale, broken", "POST", nil, errkind.UpstreamBroken, 1, 502, "unknown"},
		{"sale, deadline after send", "POST", nil, errkind.DeadlineAfterSend, 1, 504, "unknown"},
		{"sale, plain 503", "POST", plain503, errkind.None, 1, 503, "ran"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			sender := senderFunc(func(_ context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
				addresses = append(addresses, address)
				if tt.resp == nil {
					return nil, errkind.New(tt.kind, "fake")
				}
				resp := *tt.resp
				resp.Header = tt.resp.Header.Clone()
				if resp.Header == nil {
					resp.Header = http.Header{}
				}
				return &resp, nil
			})
			events := &recorder{}
			p := newProxy(service(3, lookup(), sale()), leastOutstanding, sender, events)
			resp := p.Serve(t.Context(), request(tt.method))
			is.Equal(len(addresses), tt.sends)
			is.Equal(resp.Status, tt.status)
			is.Equal(resp.Header.Get(HeaderOutcome), tt.outcome)
			is.True(len(addresses) == 1 || addresses[0] != addresses[1])
			is.Equal(events.count(event.NonRepeatableResend), 0)
		})
	}
}

// TestUnknownIsNotHiddenByLaterRefusal checks that the outcome is unknown if the first attempt
// may have run, although the second was refused.
func TestUnknownIsNotHiddenByLaterRefusal(t *testing.T) {
	is := is.New(t)
	sends := 0
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		sends++
		if sends == 1 {
			return nil, errkind.New(errkind.UpstreamBroken, "fake")
		}
		return refusal(), nil
	})
	p := newProxy(service(3, lookup()), leastOutstanding, sender, event.Discard{})
	resp := p.Serve(t.Context(), request("GET"))
	is.Equal(sends, 2)
	is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
}

// TestGuardStopsSecondAttempt bypasses the retry decision and checks that the guard alone
// prevents the second attempt of a non-repeatable request.
func TestGuardStopsSecondAttempt(t *testing.T) {
	is := is.New(t)
	sends := 0
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		sends++
		return nil, errkind.New(errkind.UpstreamBroken, "fake")
	})
	events := &recorder{}
	p := newProxy(service(3, sale()), leastOutstanding, sender, events)
	x := &exchange{proxy: p, req: request("POST")}
	is.True(x.admit() == nil)
	x.limitDeadline()
	x.prepareHeader()
	for range 2 {
		b, err := x.bind(t.Context())
		is.True(err == nil)
		x.send(t.Context(), b)
	}
	is.Equal(sends, 1)
	is.Equal(events.count(event.NonRepeatableResend), 1)
}

func TestHeadersToUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var got http.Header
		sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			got = req.Header
			return ok(), nil
		})
		p := newProxy(service(1, lookup()), leastOutstanding, sender, event.Discard{})
		req := request("GET")
		req.Header = http.Header{
			"Connection": {"X-Secret"}, "X-Secret": {"1"}, "Te": {"trailers"},
			"Traceparent": {"00-1-2-01"}, HeaderTimeout: {"200"}, "X-Forwarded-For": {"10.0.0.1"},
		}
		time.Sleep(50 * time.Millisecond)
		resp := p.Serve(t.Context(), req)
		is.Equal(resp.Header.Get(HeaderOutcome), "ran")
		is.Equal(got.Get("X-Secret"), "")
		is.Equal(got.Get("Te"), "")
		is.Equal(got.Get("Traceparent"), "00-1-2-01")
		is.Equal(got.Get(HeaderTimeout), "150")
		is.Equal(got.Get(HeaderAttempt), "1")
		is.Equal(got["X-Forwarded-For"], []string{"10.0.0.1", "10.0.0.9"})
		is.Equal(got.Get("Via"), "1.1 dapplespindle")
	})
}

func TestDeadlineBeforeSend(t *testing.T) {
	is := is.New(t)
	sends := 0
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		sends++
		return ok(), nil
	})
	p := newProxy(service(1, sale()), leastOutstanding, sender, event.Discard{})
	req := request("POST")
	req.Received = time.Now().Add(-time.Minute)
	resp := p.Serve(t.Context(), req)
	is.Equal(sends, 0)
	is.Equal(resp.Status, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
}

func TestRetryIsNotRetriedDownstream(t *testing.T) {
	is := is.New(t)
	var marks []string
	sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		marks = append(marks, req.Header.Get(HeaderAttempt))
		return refusal(), nil
	})
	events := &recorder{}
	p := newProxy(service(3, lookup()), leastOutstanding, sender, events)
	req := request("GET")
	req.Header[HeaderAttempt] = []string{"2"}
	p.Serve(t.Context(), req)
	is.Equal(marks, []string{"2"})
	is.Equal(events.reason(event.RetryDenied), "arrived-as-retry")
}

func TestOutcomeOfDownstreamEntryHostIsKept(t *testing.T) {
	is := is.New(t)
	below := &httpwire.Response{Status: http.StatusBadGateway, Header: http.Header{
		HeaderError: {"outcome-unknown"}, HeaderOutcome: {"unknown"},
	}}
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return below, nil
	})
	p := newProxy(service(1, sale()), leastOutstanding, sender, event.Discard{})
	resp := p.Serve(t.Context(), request("POST"))
	is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
}

// TestHedge sends to a slow upstream first. The second attempt must win, and the first must
// be cancelled.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cancelled := make(chan string, 1)
		sender := senderFunc(func(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			if req.Header.Get(HeaderAttempt) == "1" {
				<-ctx.Done()
				cancelled <- address
				return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
			}
			time.Sleep(time.Millisecond)
			return ok(), nil
		})
		rule := lookup()
		rule.Retry.HedgeAfter = config.Duration(20 * time.Millisecond)
		events := &recorder{}
		p := newProxy(service(2, rule), leastOutstanding, sender, events)
		start := time.Now()
		resp := p.Serve(t.Context(), request("GET"))
		is.Equal(time.Since(start), 21*time.Millisecond) // virtual time
		first := <-cancelled
		is.True(resp.Header.Get(HeaderUpstream) != first)
		is.Equal(events.count(event.HedgeWon), 1)
		is.Equal(events.count(event.HedgeCancelled), 1)
		synctest.Wait()
		_, inFlight := p.state.Load().groups[groupName{"test", "main"}].limiter.Limit()
		is.Equal(inFlight, 0)
	})
}

func TestNonRepeatableIsNeverHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sends := 0
		sender := senderFunc(func(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			sends++
			<-ctx.Done()
			return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
		})
		rule := sale()
		rule.Retry.HedgeAfter = config.Duration(time.Millisecond)
		p := newProxy(service(3, rule), leastOutstanding, sender, event.Discard{})
		resp := p.Serve(t.Context(), request("POST"))
		is.Equal(sends, 1)
		is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
	})
}

// TestCallerGone checks that the attempt is cancelled when the caller disconnects.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := false
		sender := senderFunc(func(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			<-ctx.Done()
			ended = true
			return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
		})
		p := newProxy(service(1, lookup()), leastOutstanding, sender, event.Discard{})
		ctx, cancel := context.WithCancel(t.Context())
		go p.Serve(ctx, request("GET"))
		synctest.Wait()
		cancel()
		synctest.Wait()
		is.True(ended)
	})
}

var _ balancer.Picker = (*slotPicker)(nil)

// TestOnlyRepeatableRequestsRunAhead checks that a non-repeatable request waits for the
// responses to earlier requests, as does every request while there is no configuration.
func TestOnlyRepeatableRequestsRunAhead(t *testing.T) {
	is := is.New(t)
	events := &recorder{}
	p := newProxy(service(3, lookup(), sale()), leastOutstanding, nil, events)
	is.True(p.AllowConcurrent(request("GET")))
	is.True(!p.AllowConcurrent(request("POST")))
	is.True(!p.AllowConcurrent(request("PUT"))) // no rule
	is.True(!New("127.0.0.1", "test", nil, events).AllowConcurrent(request("GET")))
}

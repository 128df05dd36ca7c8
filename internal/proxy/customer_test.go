package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/customers"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// keyedTable returns a routing table with customers whose keys are their names.
func keyedTable(revision uint64, s *config.Service, names ...string) *routing.Table {
	t := routing.Compile(revision, []*config.Service{s}, groupsFunc(lateBinding))
	var list []config.Customer
	for _, name := range names {
		list = append(list, config.Customer{Name: name, RatePerSecond: 1, Keys: []config.KeyDigest{config.DigestKey(name)}})
	}
	t.Customers = customers.Compile(list, "")
	return t
}

func requestOf(key string) *httpwire.Request {
	req := request("GET")
	req.Header[HeaderKey] = []string{key}
	req.Header[HeaderCustomer] = []string{"forged"}
	return req
}

// TestKeyRevokedWhileWaiting checks that a queued request is refused if its key is revoked
// before it is sent.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := make(chan struct{})
		var sends atomic.Int64
		sender := senderFunc(func(_ context.Context, _ string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			sends.Add(1)
			if req.Header.Get(HeaderKey) != "" || req.Header.Get(HeaderCustomer) != "b" {
				return nil, errkind.New(errkind.Internal, "told "+req.Header.Get(HeaderCustomer))
			}
			<-busy
			return ok(), nil
		})
		rule := lookup()
		rule.Deadline = config.Duration(time.Minute)
		s := service(1, rule)
		p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)))
		p.SetTable(keyedTable(1, s, "a", "b"))
		for range s.Groups[0].Upstreams[0].Slots {
			go p.Serve(t.Context(), requestOf("b"))
		}
		synctest.Wait()
		sent := sends.Load()
		waiting := make(chan *httpwire.Response, 1)
		go func() { waiting <- p.Serve(t.Context(), requestOf("a")) }()
		synctest.Wait()
		is.Equal(sends.Load(), sent) // it is queued
		p.SetTable(keyedTable(2, s, "b"))
		close(busy)
		resp := <-waiting
		is.Equal(resp.Status, http.StatusUnauthorized)
		is.Equal(resp.Header.Get(HeaderOutcome), errkind.NotRun.String())
		synctest.Wait()
		is.Equal(sends.Load(), int64(s.Groups[0].Upstreams[0].Slots)) // only those of b
	})
}

// fakeQuotas grants a fixed number of requests.
type fakeQuotas struct {
	room     int
	returned int
}

func (q *fakeQuotas) Take(context.Context, *config.Customer) (time.Duration, bool) {
	if q.room == 0 {
		return 1500 * time.Millisecond, false
	}
	q.room--
	return 0, true
}

func (q *fakeQuotas) Return(*config.Customer) { q.room, q.returned = q.room+1, q.returned+1 }

// TestQuota checks that a request over the quota gets a Retry-After, and that a request that
// took quota and did not run returns it.
func TestQuota(t *testing.T) {
	is := is.New(t)
	answer := ok()
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return answer, nil
	})
	quotas := &fakeQuotas{room: 2}
	p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)), WithQuotas(quotas))
	p.SetTable(keyedTable(1, service(1, lookup()), "a"))
	is.Equal(p.Serve(t.Context(), requestOf("a")).Status, http.StatusOK)
	answer = refusal()
	is.Equal(p.Serve(t.Context(), requestOf("a")).Status, http.StatusServiceUnavailable)
	is.Equal(quotas.returned, 1)
	answer = ok()
	is.Equal(p.Serve(t.Context(), requestOf("a")).Status, http.StatusOK)
	resp := p.Serve(t.Context(), requestOf("a"))
	is.Equal(resp.Status, http.StatusTooManyRequests)
	is.Equal(resp.Header.Get(HeaderRetryAfterMs), "1500")
	is.Equal(p.Serve(t.Context(), requestOf("x")).Status, http.StatusUnauthorized)
}

// TestCustomerPriority checks that a customer's priority overrides the rule's.
func TestCustomerPriority(t *testing.T) {
	is := is.New(t)
	x := &exchange{rule: &routing.Rule{Config: &config.Rule{Priority: config.PriorityLow}}}
	is.Equal(x.priority(), config.PriorityLow)
	x.caller.customer = &config.Customer{}
	is.Equal(x.priority(), config.PriorityLow)
	x.caller.customer = &config.Customer{Priority: config.PriorityHigh}
	is.Equal(x.priority(), config.PriorityHigh)
}

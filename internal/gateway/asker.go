package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// askTimeout bounds asking one upstream. The farthest is a few milliseconds
// away; one that takes longer is not worth waiting for.
const askTimeout = 25 * time.Millisecond

// asker implements proxy.LoadQuerier over the upstreams' health path.
type asker struct {
	client  *upstream.Client
	dialect *proxy.Dialect
	events  event.Sink
	told    proxy.Upstreams // is told what answers say of leaving and of rest
	random  func() uint64
}

// Query implements proxy.LoadQuerier.
func (a *asker) Query(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var others sync.WaitGroup
	for _, u := range upstreams[1:] {
		others.Go(func() { a.ask(ctx, group, u) })
	}
	a.ask(ctx, group, upstreams[0])
	others.Wait()
}

// ask records what one upstream says of its load.
func (a *asker) ask(ctx context.Context, group *routing.Group, u *balancer.Upstream) {
	sent, mark := clock.Now(), u.Mark()
	resp, err := a.question(ctx, group, u)
	if err != nil && err.Kind == errkind.UpstreamBroken {
		// Upstreams may forget idle connections and reset what comes on them; a
		// question may be asked twice, and the next one is on another connection.
		resp, err = a.question(ctx, group, u)
	}
	now := clock.Now()
	feedback := balancer.Feedback{Now: now, Latency: now.Sub(sent), ProbeSentAt: mark}
	switch {
	case err != nil:
		feedback.Outcome = balancer.Failed
		a.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: err.Kind.String(), Detail: err.Error(), Value: int64(now.Sub(sent))})
	case a.another(resp, u):
		feedback.Outcome = balancer.Failed
		a.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: "another-upstream", Detail: a.dialect.Instance(resp.Header), Value: int64(now.Sub(sent))})
	case a.listen(group, u, resp, now):
		feedback.Outcome = balancer.Refused
	case resp.Status != http.StatusOK:
		feedback.Outcome = balancer.Failed
		a.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: "unhealthy", Value: int64(now.Sub(sent))})
	default:
		feedback.Report = a.dialect.Load(resp.Header)
		a.limited(group, u, now, sent, resp)
		if left, ok := a.dialect.Cold(resp.Header); ok {
			u.Cold.SetCold(now, left)
		}
	}
	balancer.FinishProbe(group.Picker, u, feedback)
}

// another reports whether another upstream answered at the address: it says nothing of
// the one that was asked.
func (a *asker) another(resp *httpwire.Response, u *balancer.Upstream) bool {
	id := a.dialect.Instance(resp.Header)
	return id != "" && id != u.ID
}

// listen takes in what an answer says of leaving and of rest, and reports whether it asks
// for rest.
func (a *asker) listen(group *routing.Group, u *balancer.Upstream, resp *httpwire.Response, now time.Time) bool {
	service := group.Config.Registered
	if a.dialect.Leaving(resp.Status, resp.Header) {
		a.told.Leaving(lifecycle.UpstreamKey{Service: service, Upstream: u.ID}, u.Activation)
	}
	d, err := a.dialect.Backoff(resp.Status, resp.Header)
	if err != nil {
		a.events.Emit(event.Event{Code: event.RestUnreadable, Service: service, Upstream: u.ID, Detail: err.Error()})
	}
	if d == 0 {
		return false
	}
	a.events.Emit(event.Event{Code: event.RestAsked, Service: service, Upstream: u.ID, Reason: "probe", Value: d.Milliseconds()})
	a.told.BackingOff(u, u.Backoff.Begin(now, d, a.random()))
	return true
}

// limited takes in what an answer says of the upstream's limit.
func (a *asker) limited(group *routing.Group, u *balancer.Upstream, now, sent time.Time, resp *httpwire.Response) {
	e, news := a.dialect.ObserveLimit(u, now, sent, resp, ratelimit.Probe)
	if !news {
		return
	}
	e.Service = group.Config.Registered
	a.events.Emit(e)
	a.told.LimitChanged(u)
}

func (a *asker) question(ctx context.Context, group *routing.Group, u *balancer.Upstream) (*httpwire.Response, *errkind.Error) {
	return a.client.Do(ctx, u.Address, &httpwire.Request{
		Method: http.MethodGet,
		Target: group.Config.HealthPath,
		Path:   group.Config.HealthPath,
		Host:   upstream.TargetAddress(u.Address),
		Header: http.Header{},
	})
}

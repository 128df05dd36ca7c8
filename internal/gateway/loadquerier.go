package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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

// queryTimeout bounds the load query to one upstream. The round trip to the farthest
// takes a few milliseconds; a slower response is not worth waiting for.
const queryTimeout = 25 * time.Millisecond

// loadQuerier implements proxy.LoadQuerier with requests to the upstreams' health path.
type loadQuerier struct {
	client    *upstream.Client
	dialect   *proxy.Dialect
	events    event.Sink
	upstreams proxy.Upstreams // receives the leaving marks and backoffs in responses
	random    func() uint64
}

// Query implements proxy.LoadQuerier.
func (q *loadQuerier) Query(ctx context.Context, group *routing.Group, upstreams []*balancer.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var others sync.WaitGroup
	for _, u := range upstreams[1:] {
		others.Go(func() { q.query(ctx, group, u) })
	}
	q.query(ctx, group, upstreams[0])
	others.Wait()
}

// query records the load that one upstream reports.
func (q *loadQuerier) query(ctx context.Context, group *routing.Group, u *balancer.Upstream) {
	sent, mark := clock.Now(), u.Mark()
	resp, err := q.fetchLoad(ctx, group, u)
	if err != nil && err.Kind == errkind.UpstreamBroken {
		// Upstreams may drop idle connections and reset what arrives on them. A load query
		// is safe to repeat, and the second attempt uses another connection.
		resp, err = q.fetchLoad(ctx, group, u)
	}
	now := clock.Now()
	feedback := balancer.Feedback{Now: now, Latency: now.Sub(sent), ProbeSentAt: mark}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller left or the hedge was not needed; the upstream is not at fault.
		feedback.Outcome = balancer.Cancelled
	case err != nil && err.Kind == errkind.ConnectionLimit:
		// Requests use all connections, so their responses report the load.
		feedback.Outcome = balancer.Cancelled
	case err != nil:
		feedback.Outcome = balancer.Failed
		q.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: err.Kind.String(), Detail: err.Error(), Value: int64(now.Sub(sent))})
	case q.fromOtherUpstream(resp, u):
		feedback.Outcome = balancer.Failed
		q.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: "another-upstream", Detail: q.dialect.Instance(resp.Header), Value: int64(now.Sub(sent))})
	case q.recordLeavingAndBackoff(group, u, resp, now):
		feedback.Outcome = balancer.Refused
	case resp.Status != http.StatusOK:
		feedback.Outcome = balancer.Failed
		q.events.Emit(event.Event{Code: event.ProbeFailed, Service: group.Config.Registered, Upstream: u.ID,
			Reason: "unhealthy", Value: int64(now.Sub(sent))})
	default:
		feedback.Report = q.dialect.Load(resp.Header)
		q.recordLimit(group, u, now, sent, resp)
		if left, ok := q.dialect.Cold(resp.Header); ok {
			u.Cold.SetCold(now, left)
		}
	}
	balancer.FinishProbe(group.Picker, u, feedback)
}

// fromOtherUpstream reports whether another upstream responded at the address. Its
// response says nothing about u.
func (q *loadQuerier) fromOtherUpstream(resp *httpwire.Response, u *balancer.Upstream) bool {
	id := q.dialect.Instance(resp.Header)
	return id != "" && id != u.ID
}

// recordLeavingAndBackoff applies the leaving mark and the backoff in a response, and
// reports whether the response asks for a backoff.
func (q *loadQuerier) recordLeavingAndBackoff(group *routing.Group, u *balancer.Upstream, resp *httpwire.Response, now time.Time) bool {
	service := group.Config.Registered
	if q.dialect.Leaving(resp.Status, resp.Header) {
		q.upstreams.Leaving(lifecycle.UpstreamKey{Service: service, Upstream: u.ID}, u.Activation)
	}
	d, err := q.dialect.Backoff(resp.Status, resp.Header)
	if err != nil {
		q.events.Emit(event.Event{Code: event.RestUnreadable, Service: service, Upstream: u.ID, Detail: err.Error()})
	}
	if d == 0 {
		return false
	}
	q.events.Emit(event.Event{Code: event.RestAsked, Service: service, Upstream: u.ID, Reason: "probe", Value: d.Milliseconds()})
	q.upstreams.BackingOff(u, u.Backoff.Begin(now, d, q.random()))
	return true
}

// recordLimit applies the rate limit that the upstream announces in a response.
func (q *loadQuerier) recordLimit(group *routing.Group, u *balancer.Upstream, now, sent time.Time, resp *httpwire.Response) {
	e, changed := q.dialect.ObserveLimit(u, now, sent, resp, ratelimit.Probe)
	if !changed {
		return
	}
	e.Service = group.Config.Registered
	q.events.Emit(e)
	q.upstreams.LimitChanged(u)
}

func (q *loadQuerier) fetchLoad(ctx context.Context, group *routing.Group, u *balancer.Upstream) (*httpwire.Response, *errkind.Error) {
	return q.client.Do(ctx, u.Address, &httpwire.Request{
		Method:    http.MethodGet,
		Target:    group.Config.HealthPath,
		Path:      group.Config.HealthPath,
		Host:      upstream.TargetAddress(u.Address),
		Header:    http.Header{},
		LoadQuery: true,
	})
}

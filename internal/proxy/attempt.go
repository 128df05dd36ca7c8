package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// This file holds every call of the balancer: Pick, Start and Done.

// binding is a request bound to an upstream, with its place in the limit held.
// It must be sent or released.
type binding struct {
	upstream *balancer.Upstream
	number   int
}

// result is the end of one send. Exactly one of resp and err is set.
type result struct {
	binding binding
	resp    *httpwire.Response
	err     *errkind.Error
	noRetry bool
}

// feedback is what a send teaches the balancer and the limit.
type feedback struct {
	latency time.Duration
	outcome limit.Outcome
	// load is the upstream's report of requests in flight, or noReport.
	load int64
	// slots is the number of requests that the upstream serves at the same time.
	slots int
}

// pressure is the reported load per slot, or 0 without a report.
func (f feedback) pressure() float64 {
	if f.load == noReport {
		return 0
	}
	return float64(f.load) / float64(max(f.slots, 1))
}

// pick chooses an upstream for send number n. The place in the limit must be
// held already. The error is balancer.ErrNoSlot or balancer.ErrNoUpstream.
func (x *exchange) pick(n int) (binding, error) {
	choice, err := x.state.group.current.Load().Picker.Pick(balancer.PickInfo{
		Now:     time.Now(),
		Random:  x.proxy.random(),
		Exclude: x.tried,
	})
	if err != nil {
		return binding{}, err
	}
	u := choice.Upstream
	u.Start()
	x.tried = append(x.tried, u)
	x.emit(event.Event{Code: event.UpstreamChosen, Upstream: u.ID, Reason: choice.Reason, Attempt: n, Value: u.Outstanding()})
	return binding{upstream: u, number: n}, nil
}

// send sends the bound request and ends the binding.
func (x *exchange) send(ctx context.Context, b binding) result {
	if !x.guard.begin(x.repeatable()) {
		x.emit(event.Event{Code: event.NonRepeatableResend, Upstream: b.upstream.ID, Attempt: b.number})
		x.done(b, feedback{outcome: limit.Ignored, load: noReport})
		return result{binding: b, err: errkind.New(errkind.Internal, "second send of a non-repeatable request")}
	}
	req := x.attemptRequest(b.number)
	start := time.Now()
	resp, err := x.proxy.sender.Do(ctx, b.upstream.Address, req)
	r := interpret(b, resp, err)
	x.guard.end(r.err)
	x.done(b, feedbackOf(ctx, r, resp, time.Since(start)))
	return r
}

// done reports the end of a send to the balancer, the limit and the queue.
func (x *exchange) done(b binding, f feedback) {
	b.upstream.Done()
	if f.outcome == limit.Answered {
		x.state.latency.Observe(f.latency)
	}
	if reason := x.state.group.release(time.Now(), f); reason != limit.Unchanged {
		bound, _ := x.state.group.limiter.Limit()
		x.emit(event.Event{Code: event.LimitChanged, Reason: string(reason), Value: int64(bound)})
	}
}

// interpret tells an upstream's declared refusal from its answers. A plain 503
// is an answer: the upstream ran something.
func interpret(b binding, resp *httpwire.Response, err *errkind.Error) result {
	if err != nil {
		return result{binding: b, err: err}
	}
	httpwire.RemoveHopByHop(resp.Header)
	noRetry := resp.Header.Get(HeaderNoRetry) != ""
	if resp.Status == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == flagSet {
		err := errkind.New(errkind.UpstreamRefused, b.upstream.ID)
		return result{binding: b, err: err, noRetry: noRetry}
	}
	return result{binding: b, resp: resp, noRetry: noRetry}
}

func feedbackOf(ctx context.Context, r result, resp *httpwire.Response, latency time.Duration) feedback {
	f := feedback{latency: latency, outcome: limit.Answered, load: noReport, slots: r.binding.upstream.Slots}
	if resp != nil {
		f.load = loadReport(resp.Header)
	}
	switch {
	case r.err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		f.outcome = limit.Ignored
	case r.err.Kind == errkind.UpstreamRefused, r.err.Kind == errkind.DeadlineAfterSend:
		f.outcome = limit.Refused
	default:
		f.outcome = limit.Ignored
	}
	return f
}

package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// This file holds every call of the balancer: Pick, Begin and Finish.

// binding is a request bound to an upstream, with its place in the limit held.
// It must be sent or released.
type binding struct {
	upstream *balancer.Upstream
	call     balancer.Call
	number   int
	// lifecycle is the version of the lifecycle snapshot that the choice was
	// made from, and view what it said of the upstream.
	lifecycle uint64
	view      lifecycle.View
	// overdue is the time from the send after which the policy expects no answer
	// any more; 0 if it has no opinion.
	overdue time.Duration
}

// result is the end of one send. Exactly one of resp and err is set.
type result struct {
	binding binding
	resp    *httpwire.Response
	err     *errkind.Error
	noRetry bool
	// failure is the upstream's whole answer if it says that it failed; err is
	// then set.
	failure *httpwire.Response
}

// feedback is what a send teaches the balancer and the limit.
type feedback struct {
	latency time.Duration
	outcome limit.Outcome
	// failed states that the upstream or the connection to it is at fault.
	failed bool
	// refused states that the upstream declared that it did not run the request.
	refused bool
	// load is the upstream's report.
	load balancer.Report
	// slots is the number of requests that the upstream serves at the same time.
	slots int
}

// pressure is the reported load per slot, or 0 without a report.
func (f feedback) pressure() float64 {
	if !f.load.Valid {
		return 0
	}
	return float64(f.load.InFlight) / float64(max(f.slots, 1))
}

// balancer converts f. A deadline says nothing on the upstream: callers choose
// theirs, and the policy sees the age of what is in flight.
func (f feedback) balancer(now time.Time) balancer.Feedback {
	out := balancer.Feedback{Now: now, Latency: f.latency, Report: f.load}
	switch {
	case f.failed:
		out.Outcome = balancer.Failed
	case f.refused:
		out.Outcome = balancer.Refused
	case f.outcome != limit.Answered:
		out.Outcome = balancer.Cancelled
	}
	return out
}

// pick chooses an upstream for send number n. The place in the limit must be
// held already. The error is balancer.ErrNoSlot or balancer.ErrNoUpstream.
// Waited is how long the request has been in the queue, and extra says that
// another send is still running.
func (x *exchange) pick(ctx context.Context, n int, waited time.Duration, extra bool) (binding, error) {
	group := x.state.group.current.Load()
	info := balancer.PickInfo{
		Now:             clock.Now(),
		Random:          x.proxy.random(),
		Exclude:         x.tried,
		Waited:          waited,
		Hedge:           extra,
		ExpectedLatency: x.expectedLatency(),
		TargetLeft:      clock.Until(x.usefulUntil()),
		DeadlineLeft:    x.timeLeft(),
		FinalAttempt:    x.isFinalAttempt(n),
	}
	x.queryLoad(ctx, group, &info)
	now := info.Now
	choice, err := x.choose(ctx, group, info)
	if err != nil {
		return binding{}, err
	}
	u := choice.Upstream
	b := binding{upstream: u, call: u.Begin(now), number: n, lifecycle: group.Lifecycle, overdue: choice.OverdueAfter}
	if x.proxy.upstreams != nil {
		b.view, _ = x.proxy.upstreams.Snapshot().View(x.upstreamKey(b))
	}
	x.tried = append(x.tried, u)
	x.state.group.inFlight.Add(1)
	x.emit(event.Event{Code: event.UpstreamChosen, Upstream: u.ID, Reason: choice.Reason, Attempt: n, Value: u.Outstanding(), Load: loadOf(u, now)})
	return b, nil
}

// loadOf states what was known of the load of a chosen upstream.
func loadOf(u *balancer.Upstream, now time.Time) *event.Load {
	l := u.Load()
	if l == nil {
		return nil
	}
	return &event.Load{InFlight: l.InFlight, Slots: l.Slots, Slowdown: l.Slowdown, Age: now.Sub(l.At)}
}

// send sends the bound request and ends the binding.
func (x *exchange) send(ctx context.Context, b binding) result {
	if !x.guard.begin(x.repeatable()) {
		x.emit(event.Event{Code: event.NonRepeatableResend, Upstream: b.upstream.ID, Attempt: b.number})
		x.finish(b, feedback{outcome: limit.Ignored})
		return result{binding: b, err: errkind.New(errkind.Internal, "second send of a non-repeatable request")}
	}
	if err := x.checkBeforeSend(ctx, b); err != nil {
		x.guard.end(err)
		x.finish(b, feedback{outcome: limit.Ignored})
		return result{binding: b, err: err}
	}
	req := x.attemptRequest(b)
	start := clock.Now()
	resp, err := x.proxy.sender.Do(ctx, b.upstream.Address, req)
	x.reportLifecycle(b, resp, err)
	x.recordBackoff(b, resp)
	x.recordLimit(b, start, resp)
	x.detectCrash(ctx, b, start, err)
	r := x.interpret(b, resp, err)
	x.recordResponse(r)
	x.guard.end(r.err)
	if r.err != nil && r.err.Kind.Answer().Outcome == errkind.NotRun {
		execution.AfterNotRun(ctx)
	}
	x.finish(b, x.feedbackOf(ctx, r, resp, clock.Since(start)))
	return r
}

// clear asks those who may forbid the send. The order matters: what single
// execution records as sent is sent.
func (x *exchange) checkBeforeSend(ctx context.Context, b binding) *errkind.Error {
	if err := x.checkLifecycle(b); err != nil {
		return err
	}
	if err := x.quarantined(); err != nil {
		return err
	}
	if err := x.checkKeyValid(); err != nil {
		return err
	}
	return execution.BeforeSend(ctx)
}

// done reports the end of a send to the balancer, the limit and the queue.
func (x *exchange) finish(b binding, f feedback) {
	now := clock.Now()
	x.state.group.inFlight.Add(-1)
	told := f.balancer(now)
	told.Target = x.rule.Config.TargetLatency.Std()
	balancer.Finish(x.state.group.current.Load().Picker, b.call, told)
	if f.outcome == limit.Answered {
		x.state.latency.Observe(f.latency)
	}
	if reason := x.state.group.release(now, f); reason != limit.Unchanged {
		bound, _ := x.state.group.limiter.Limit()
		x.emit(event.Event{Code: event.LimitChanged, Reason: string(reason), Value: int64(bound)})
	}
}

// interpret tells an upstream's declared refusal from its answers. A plain 503
// is an answer: the upstream ran something.
func (x *exchange) interpret(b binding, resp *httpwire.Response, err *errkind.Error) result {
	if err != nil {
		return result{binding: b, err: err}
	}
	httpwire.RemoveHopByHop(resp.Header)
	d := x.proxy.dialect
	r := result{binding: b, noRetry: resp.Header.Get(HeaderNoRetry) != ""}
	if d.NotRun(resp.Status, resp.Header) {
		r.err = errkind.New(errkind.UpstreamRefused, b.upstream.ID)
		return r
	}
	if r.err = d.checkResponse(resp); r.err != nil {
		return r
	}
	if d.Signature != "" && x.repeatable() && resp.Status >= http.StatusInternalServerError {
		r.err = errkind.New(errkind.UpstreamFailed, b.upstream.ID+" answered "+strconv.Itoa(resp.Status))
		r.failure = resp
		return r
	}
	r.resp = resp
	return r
}

func (x *exchange) feedbackOf(ctx context.Context, r result, resp *httpwire.Response, latency time.Duration) feedback {
	f := feedback{latency: latency, outcome: limit.Answered, slots: r.binding.upstream.Slots}
	if resp != nil {
		f.load = x.proxy.dialect.Load(resp.Header)
	}
	switch {
	case r.err == nil:
	case errors.Is(ctx.Err(), context.Canceled):
		f.outcome = limit.Ignored
	case r.err.Kind == errkind.UpstreamRefused:
		f.outcome = limit.Refused
		f.refused = true
	case r.err.Kind == errkind.DeadlineAfterSend:
		f.outcome = limit.Refused
	default:
		f.outcome = limit.Ignored
		f.failed = true
	}
	return f
}

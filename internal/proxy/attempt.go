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

// This file contains the calls of Begin and Finish of pkg/balancer; choose in rest.go calls
// Pick.

// binding assigns an attempt to an upstream and holds its permit from the limiter.
// It must be sent or released.
type binding struct {
	upstream *balancer.Upstream
	call     balancer.Call
	number   int
	// lifecycle is the version of the lifecycle snapshot that the upstream was
	// picked from, and view the upstream's entry in it.
	lifecycle uint64
	view      lifecycle.View
	// overdue is the time after which the policy considers the response overdue;
	// 0 if the policy gives none.
	overdue time.Duration
	// crossing is the reason why the attempt crosses failure domains.
	crossing Crossing
}

// result is the outcome of one attempt. Exactly one of resp and err is set.
type result struct {
	binding binding
	resp    *httpwire.Response
	err     *errkind.Error
	noRetry bool
	// failure is the upstream's complete response if it reports a failure; err is
	// set as well.
	failure *httpwire.Response
}

// feedback is what the balancer and the limiter learn from an attempt.
type feedback struct {
	latency time.Duration
	outcome limit.Outcome
	// failed is set if the upstream or the connection to it is at fault.
	failed bool
	// refused is set if the upstream declared that it did not run the request.
	refused bool
	// load is the upstream's load report.
	load balancer.Report
	// slots is the number of requests that the upstream serves concurrently.
	slots int
}

// pressure returns the reported load per slot, or 0 without a report.
func (f feedback) pressure() float64 {
	if !f.load.Valid {
		return 0
	}
	return float64(f.load.InFlight) / float64(max(f.slots, 1))
}

// balancer converts f for the balancer. A passed deadline is not held against the
// upstream: callers choose their deadlines, and the policy sees the age of the requests
// in flight.
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

// pick chooses an upstream for attempt number n. The permit from the limiter must
// already be held. The error is balancer.ErrNoSlot or balancer.ErrNoUpstream.
// Waited is the time that the request has spent in the queue for this attempt; isHedge is set if another
// attempt is still running.
func (x *exchange) pick(ctx context.Context, n int, waited time.Duration, isHedge bool) (binding, error) {
	group := x.state.group.current.Load()
	info := balancer.PickInfo{
		Now:             clock.Now(),
		Random:          x.proxy.random(),
		Exclude:         x.tried,
		Waited:          waited,
		WaitedBefore:    x.waited,
		Hedge:           isHedge,
		ExpectedLatency: x.expectedLatency(),
		CrossingCost:    x.transfers().crossingCost(),
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
	b.crossing = x.recordPick(group, u, n, isHedge, now)
	if x.proxy.upstreams != nil {
		b.view, _ = x.proxy.upstreams.Snapshot().View(x.upstreamKey(b))
	}
	x.tried = append(x.tried, u)
	x.state.group.inFlight.Add(1)
	x.emit(event.Event{Code: event.UpstreamChosen, Upstream: u.ID, Reason: choice.Reason, Attempt: n, Value: u.Outstanding(), Load: loadOf(u, now)})
	return b, nil
}

// loadOf returns the known load of a picked upstream, or nil.
func loadOf(u *balancer.Upstream, now time.Time) *event.Load {
	l := u.Load()
	if l == nil {
		return nil
	}
	return &event.Load{InFlight: l.InFlight, Slots: l.Slots, Slowdown: l.Slowdown, Age: now.Sub(l.At)}
}

// send sends the request to the upstream of b and ends the binding.
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
	x.reportRelay(b, resp)
	x.reportLifecycle(b, resp, err)
	x.recordBackoff(b, resp)
	x.recordLimit(b, start, resp)
	x.detectCrash(ctx, b, start, err)
	x.recordAbandoned(ctx, b, start, err)
	r := x.interpret(b, resp, err)
	x.recordResponse(r)
	x.recordTransfer(r, resp)
	x.guard.end(r.err)
	if r.err != nil && r.err.Kind.Answer().Outcome == errkind.NotRun {
		execution.AfterNotRun(ctx)
	}
	x.finish(b, x.feedbackOf(ctx, r, resp, clock.Since(start)))
	return r
}

// reportRelay reports that another entry host relayed the attempt. The detail of a failure names
// that host.
func (x *exchange) reportRelay(b binding, resp *httpwire.Response) {
	if resp != nil && resp.Via != "" {
		x.emit(event.Event{Code: event.RequestRelayed, Upstream: b.upstream.ID, Attempt: b.number, Detail: resp.Via})
	}
}

// checkBeforeSend runs the checks that can still prevent the attempt.
// execution.BeforeSend must be the last check, since a request that it records as sent must
// then be sent.
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
	if err := execution.BeforeSend(ctx); err != nil {
		return err
	}
	x.reportSuspectSent(b)
	return nil
}

// finish reports the end of an attempt to the balancer, the limiter and the queue.
func (x *exchange) finish(b binding, f feedback) {
	now := clock.Now()
	x.state.group.inFlight.Add(-1)
	out := f.balancer(now)
	out.Target = x.rule.Config.TargetLatency.Std()
	balancer.Finish(x.state.group.current.Load().Picker, b.call, out)
	if f.outcome == limit.Answered {
		x.state.latency.Observe(f.latency)
	}
	if reason := x.state.group.release(now, f); reason != limit.Unchanged {
		bound, _ := x.state.group.limiter.Limit()
		x.emit(event.Event{Code: event.LimitChanged, Reason: string(reason), Value: int64(bound)})
	}
}

// interpret distinguishes a refusal declared by an upstream from its responses. A plain
// 503 is an ordinary response: the upstream has processed the request.
func (x *exchange) interpret(b binding, resp *httpwire.Response, err *errkind.Error) result {
	if err != nil {
		return result{binding: b, err: err}
	}
	d := x.proxy.dialect
	notRun := d.NotRun(resp.Status, resp.Header)
	x.proxy.connection.remove(resp.Header)
	r := result{binding: b, noRetry: resp.Header.Get(HeaderNoRetry) != ""}
	if notRun {
		r.err = errkind.New(errkind.UpstreamRefused, b.upstream.ID)
		if resp.Doubtful && !x.repeatable() {
			r.err = errkind.New(errkind.UpstreamBroken, "a refusal that may be of an earlier load query")
		}
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
	case r.err.Kind == errkind.ConnectionLimit: // nothing was sent; the upstream is not at fault
		f.outcome = limit.Ignored
	case r.err.Kind == errkind.DeadlineAfterSend:
		f.outcome = limit.Refused
	default:
		f.outcome = limit.Ignored
		f.failed = true
	}
	return f
}

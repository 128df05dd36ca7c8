package proxy

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
)

// recheckInterval is the longest time without a wake-up before the first queued request
// tries again, even if no response has freed a slot.
const recheckInterval = 5 * time.Millisecond

// queryRecheckInterval replaces recheckInterval if upstreams are queried for their load.
const queryRecheckInterval = 25 * time.Millisecond

// waiter is a request in its group's queue. Each time that the queue removes the entry,
// exactly one signal follows: Queued passes a permit from the limiter, and any other reason
// drops the request.
type waiter struct {
	entry  queue.Entry[*waiter]
	signal chan queue.Reason
}

// bind binds the next attempt to an upstream, and waits for a slot if none is free. An
// error is final for this attempt.
func (x *exchange) bind(ctx context.Context) (binding, *errkind.Error) {
	if err := x.expired(ctx); err != nil {
		return binding{}, err
	}
	g := x.state.group
	finished := g.finished.Load()
	b, err := x.tryBind(ctx, x.sent+1)
	switch {
	case err == nil:
		x.recordAdmission(true)
		return b, nil
	case errors.Is(err, balancer.ErrNoUpstream), errors.Is(err, errLimitReached) && x.tooManyWaiting():
		return binding{}, x.noUpstreamError(err)
	default:
		return x.wait(ctx, err, finished)
	}
}

// wait queues the request until it is bound or dropped. Full is the error of the first try,
// and finished the group's count of ended attempts before it.
func (x *exchange) wait(ctx context.Context, full error, finished uint64) (binding, *errkind.Error) {
	g := x.state.group
	w := x.newWaiter()
	start := clock.Now()
	if reason := g.push(start, w); reason != queue.Queued {
		return binding{}, x.shed(reason)
	}
	x.emit(event.Event{Code: event.RequestQueued, Attempt: x.sent + 1, Reason: full.Error(), Value: g.waiting.Load()})
	if errors.Is(full, errLimitReached) || g.finished.Load() != finished {
		g.wake(clock.Now(), 1)
	}
	g.pending.Add(1)
	defer g.pending.Add(-1)
	b, err := x.awaitSlot(ctx, w, start)
	x.waited += clock.Since(start)
	if err == nil {
		x.recordAdmission(true)
		x.emit(event.Event{Code: event.QueueLeft, Upstream: b.upstream.ID, Attempt: b.number, Value: clock.Since(start).Microseconds()})
	}
	return b, err
}

// awaitSlot tries to pick an upstream each time the request is woken, until it is bound.
func (x *exchange) awaitSlot(ctx context.Context, w *waiter, start time.Time) (binding, *errkind.Error) {
	g := x.state.group
	interval := x.recheckDelay()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	x.askNotesIfQueued()
	for {
		select {
		case waited := <-x.returning.answer:
			x.promote(w, waited)
			continue
		case reason := <-w.signal:
			if reason != queue.Queued {
				return binding{}, x.shed(reason)
			}
		case <-tick.C:
			g.recheck(clock.Now(), interval)
			continue
		case <-ctx.Done():
			x.abandonWait(w)
			return binding{}, x.expired(ctx)
		}
		finished := g.finished.Load()
		b, err := x.pick(ctx, x.sent+1, clock.Since(start), false)
		if err == nil {
			return b, nil
		}
		if errors.Is(err, balancer.ErrNoUpstream) {
			g.release(clock.Now(), feedback{outcome: limit.Ignored})
			return binding{}, x.noUpstreamError(err)
		}
		g.limiter.Release(limit.Sample{Outcome: limit.Ignored})
		if errors.Is(err, balancer.ErrOwnDomainFull) {
			// The next request may use another failure domain. Only those after this one are
			// woken: two that stay in their domain would wake each other without end.
			g.wakeAfter(w)
		}
		g.requeue(w)
		if g.finished.Load() != finished {
			g.wake(clock.Now(), 1)
		}
	}
}

// recheckDelay returns the recheck interval of the queue. It is longer if upstreams are
// queried before each pick, since each try then costs queries.
func (x *exchange) recheckDelay() time.Duration {
	if x.state.group.current.Load().Config.HealthPath != "" {
		return queryRecheckInterval
	}
	return recheckInterval
}

// abandonWait removes w from the queue when the request has ended. A permit that was passed
// to it meanwhile goes to the next request.
func (x *exchange) abandonWait(w *waiter) {
	g := x.state.group
	if g.remove(w) {
		return
	}
	if <-w.signal == queue.Queued {
		g.release(clock.Now(), feedback{outcome: limit.Ignored})
	}
}

// shed records that the request is dropped before it is sent, and returns the error.
func (x *exchange) shed(reason queue.Reason) *errkind.Error {
	x.recordAdmission(false)
	x.emit(event.Event{Code: event.RequestShed, Attempt: x.sent + 1, Reason: string(reason), Value: x.state.group.waiting.Load()})
	kind := errkind.Overloaded
	if !math.IsInf(x.limitedRate(), 1) {
		kind = errkind.UpstreamsLimited
	}
	return errkind.New(kind, string(reason))
}

// recordAdmission records whether the first attempt of a request was admitted.
func (x *exchange) recordAdmission(ok bool) {
	if x.sent == 0 {
		x.state.group.excess.Observe(ok)
	}
}

func (x *exchange) newWaiter() *waiter {
	w := &waiter{signal: make(chan queue.Reason, 1)}
	w.entry = queue.Entry[*waiter]{
		Value:    w,
		Priority: priorityOf(x.priority()),
		Target:   x.usefulUntil(),
		Deadline: x.deadline,
		Service:  x.expectedLatency(),
		Waited:   x.returning.waited,
	}
	return w
}

// expectedLatency returns the median latency of the rule, or the group's mean until the rule
// has enough samples.
func (x *exchange) expectedLatency() time.Duration {
	if d := x.state.latency.Quantile(medianQuantile); d > 0 {
		return d
	}
	return x.state.group.service.Mean()
}

func priorityOf(p config.Priority) queue.Priority {
	switch p {
	case config.PriorityHigh:
		return queue.High
	case config.PriorityLow:
		return queue.Low
	default:
		return queue.Normal
	}
}

// usefulUntil returns the time until which a response is useful: the target, or the
// deadline if that is earlier or there is no target.
func (x *exchange) usefulUntil() time.Time {
	target := x.rule.Config.TargetLatency.Std()
	if target == 0 {
		return x.deadline
	}
	if at := x.req.Received.Add(target); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

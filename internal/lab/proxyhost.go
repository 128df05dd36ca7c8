package lab

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

const (
	// maxQueueLength is the default length limit of a group's queue.
	maxQueueLength = 64
	// queueRetryInterval is the time without activity after which the queue is
	// retried.
	queueRetryInterval = 5 * time.Millisecond
	// medianQuantile is the quantile used as the expected latency of an attempt.
	medianQuantile = 0.5
)

// proxyHost handles repeatable requests as the proxy does, with the same
// components: concurrency limiter, queue, retry budget and latency estimate. It
// mirrors internal/proxy, which drives the components with goroutines instead of
// events.
type proxyHost struct {
	env         *hostEnv
	limiter     *limit.Limiter
	serviceTime queue.ServiceTime
	queue       *queue.Queue[*Request]
	budget      *retry.Budget
	latency     retry.Latency
	hedging     hedgePolicy
	// lastWake is when the queue was last woken.
	lastWake time.Time
	// retryScheduled is set while a timer to wake the queue is pending.
	retryScheduled bool
}

// NewBasicHost returns the default Host. It does not hedge.
func NewBasicHost(env Env) Host { return newProxyHost(env, hedgePolicy{}) }

func newProxyHost(env Env, h hedgePolicy) *proxyHost {
	e := env.(*hostEnv)
	slots := e.sim.run.Workload.Upstreams * slotsPerUpstream
	return &proxyHost{
		env:     e,
		limiter: limit.ForGroup(slots, e.sim.run.Workload.EntryHosts),
		queue:   queue.New[*Request](maxQueueLength),
		budget:  retry.NewBudget(config.DefaultBudgetPercent),
		hedging: h,
	}
}

func (h *proxyHost) now() time.Time { return h.env.Clock().Now() }

// Arrive implements Host.
func (h *proxyHost) Arrive(r *Request) {
	h.env.Clock().After(r.Deadline.Sub(h.now()), func() { h.expire(r) })
	h.dispatch(r)
}

// expire ends a request at its deadline.
func (h *proxyHost) expire(r *Request) {
	if r.finished {
		return
	}
	h.env.Finish(r, false)
	if r.queueEntry != nil {
		h.queue.Remove(r.queueEntry)
	}
	r.cancelOthers()
}

// dispatch sends a request if possible, and queues or rejects it otherwise.
func (h *proxyHost) dispatch(r *Request) {
	res, unavailable := h.tryDispatch(r)
	if unavailable == nil {
		h.send(r, res)
		return
	}
	if unavailable == balancer.ErrNoUpstream {
		h.reject(r)
		return
	}
	r.queuedAt = h.now()
	r.queueEntry = &queue.Entry[*Request]{Value: r, Priority: queue.Normal, Deadline: r.Deadline}
	reason, evicted := h.queue.Push(h.now(), r.queueEntry, h.pace())
	if evicted != nil {
		h.reject(evicted.Value)
	}
	if reason != queue.Queued {
		h.reject(r)
		return
	}
	if unavailable == errLimitReached {
		h.wakeQueue(1)
	}
	h.scheduleQueueRetry()
}

// reject ends a request that could not be sent. If it was a retry, its token goes
// back to the retry budget.
func (h *proxyHost) reject(r *Request) {
	if r.Attempts > 0 {
		h.budget.Refund(0) // the budget has no window
	}
	r.queueEntry = nil
	h.env.Finish(r, false)
}

// tryDispatch picks an upstream if no request is queued and the concurrency limit
// is not reached.
func (h *proxyHost) tryDispatch(r *Request) (balancer.Result, error) {
	if h.queue.Len() > 0 || !h.limiter.Acquire(0) {
		return balancer.Result{}, errLimitReached
	}
	return h.pick(r, 0)
}

// pick chooses an upstream. On failure it releases the limiter.
func (h *proxyHost) pick(r *Request, waited time.Duration) (balancer.Result, error) {
	res, err := h.env.Picker().Pick(balancer.PickInfo{
		Now:     h.now(),
		Random:  h.env.Random().Uint64(),
		Exclude: r.Tried,
		Waited:  waited,
	})
	if err != nil {
		h.limiter.Release(limit.Sample{Outcome: limit.Ignored})
	}
	return res, err
}

// wakeQueue dispatches up to n queued requests as far as the concurrency limit
// allows. It first rejects those that can no longer be served in time.
func (h *proxyHost) wakeQueue(n int) {
	h.lastWake = h.now()
	for _, expired := range h.queue.DropExpired(h.now(), h.pace()) {
		h.reject(expired.Entry.Value)
	}
	var taken []*queue.Entry[*Request]
	for range n {
		e := h.queue.Take()
		if e == nil {
			break
		}
		if !h.limiter.Acquire(0) {
			h.queue.Return(e)
			break
		}
		taken = append(taken, e)
	}
	for _, e := range taken {
		h.dispatchQueued(e)
	}
}

// dispatchQueued picks an upstream for a request taken from the queue. If no slot
// is free, the request goes back to the queue.
func (h *proxyHost) dispatchQueued(e *queue.Entry[*Request]) {
	r := e.Value
	res, err := h.pick(r, h.now().Sub(r.queuedAt))
	switch err {
	case nil:
		r.queueEntry = nil
		h.send(r, res)
	case balancer.ErrNoSlot:
		h.queue.Return(e)
		h.scheduleQueueRetry()
	default:
		h.reject(r)
	}
}

// scheduleQueueRetry wakes the queue after queueRetryInterval unless something
// else wakes it before.
func (h *proxyHost) scheduleQueueRetry() {
	if h.retryScheduled || h.queue.Len() == 0 {
		return
	}
	h.retryScheduled = true
	h.env.Clock().After(queueRetryInterval, func() {
		h.retryScheduled = false
		if h.now().Sub(h.lastWake) >= queueRetryInterval {
			h.wakeQueue(1)
		}
		h.scheduleQueueRetry()
	})
}

func (h *proxyHost) pace() queue.Pace {
	_, inFlight := h.limiter.Limit()
	return queue.Pace{Service: h.serviceTime.Mean(), Parallel: inFlight}
}

// send sends an attempt to the picked upstream.
func (h *proxyHost) send(r *Request, res balancer.Result) {
	r.Tried = append(r.Tried, res.Upstream)
	r.inFlight++
	r.cancels = append(r.cancels, h.env.Send(r, res.Upstream, func(f balancer.Feedback) {
		r.inFlight--
		h.recordOutcome(r, f)
		h.finishOrRetry(r, f)
	}))
	if r.Attempts == 1 {
		h.budget.RecordFirst()
		h.scheduleHedge(r, res)
	}
}

// recordOutcome reports the end of an attempt to the limiter and the estimates and
// wakes the queue.
func (h *proxyHost) recordOutcome(r *Request, f balancer.Feedback) {
	s := limit.Sample{Outcome: limit.Ignored, Latency: f.Latency}
	switch {
	case f.Outcome == balancer.Answered:
		s.Outcome = limit.Answered
		s.Pressure = float64(f.Report.InFlight) / slotsPerUpstream
		h.latency.Observe(f.Latency)
		h.serviceTime.Observe(f.Latency)
	case f.Outcome == balancer.Refused, f.Outcome == balancer.Cancelled && !h.now().Before(r.Deadline):
		s.Outcome = limit.Refused
	}
	reason := h.limiter.Release(s)
	if h.queue.Len() == 0 {
		return
	}
	if reason == limit.Increased || reason == limit.Relearned {
		h.wakeQueue(2)
		return
	}
	h.wakeQueue(1)
}

// finishOrRetry handles the end of an attempt: it finishes the request, retries
// it, or leaves it to attempts still in flight.
func (h *proxyHost) finishOrRetry(r *Request, f balancer.Feedback) {
	switch {
	case f.Outcome == balancer.Answered:
		h.env.Finish(r, !f.Now.After(r.Deadline))
		r.cancelOthers()
	case r.finished || r.inFlight > 0:
	case retry.Decide(h.retryAttempt(r, errorKind(f.Outcome)), h.budget) == retry.Allowed:
		h.dispatch(r)
	default:
		h.env.Finish(r, false)
	}
}

func errorKind(o balancer.Outcome) errkind.Kind {
	if o == balancer.Refused {
		return errkind.UpstreamRefused
	}
	return errkind.UpstreamBroken
}

func (h *proxyHost) retryAttempt(r *Request, kind errkind.Kind) retry.Attempt {
	return retry.Attempt{
		Kind:         kind,
		Repeatable:   true,
		Sent:         r.Attempts,
		MaxAttempts:  config.DefaultMaxAttempts,
		DeadlineLeft: r.Deadline.Sub(h.now()),
		Expected:     h.latency.Quantile(medianQuantile),
	}
}

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
	// maxWaiting is the default bound of a group's queue.
	maxWaiting = 64
	// hintInterval is how long the queue stands still before it tries again.
	hintInterval = 5 * time.Millisecond
	// medianQuantile estimates how long a send usually takes.
	medianQuantile = 0.5
)

// partsHost is the product's course of a repeatable request with its own
// parts: limit, queue, retry budget, latency. It mirrors internal/proxy, which
// gives the parts goroutines instead of events.
type partsHost struct {
	env     *hostEnv
	limiter *limit.Limiter
	service queue.ServiceTime
	queue   *queue.Queue[*Request]
	budget  *retry.Budget
	latency retry.Latency
	hedge   hedging
	// lastWake is when the queue was last woken, ticking whether it will be again.
	lastWake time.Time
	ticking  bool
}

// NewBasicHost returns the default Host, which does not hedge.
func NewBasicHost(env Env) Host { return newPartsHost(env, hedging{}) }

func newPartsHost(env Env, h hedging) *partsHost {
	e := env.(*hostEnv)
	slots := e.world.run.Workload.Upstreams * slotsPerUpstream
	return &partsHost{
		env:     e,
		limiter: limit.ForGroup(slots, e.world.run.Workload.EntryHosts),
		queue:   queue.New[*Request](maxWaiting),
		budget:  retry.NewBudget(config.DefaultBudgetPercent),
		hedge:   h,
	}
}

func (h *partsHost) now() time.Time { return h.env.Clock().Now() }

// Arrive implements Host.
func (h *partsHost) Arrive(r *Request) {
	h.env.Clock().After(r.Deadline.Sub(h.now()), func() { h.expire(r) })
	h.bind(r)
}

// expire ends a request at its deadline.
func (h *partsHost) expire(r *Request) {
	if r.finished {
		return
	}
	h.env.Finish(r, false)
	if r.entry != nil {
		h.queue.Remove(r.entry)
	}
	r.cancelOthers()
}

// bind sends a request, or lets it wait.
func (h *partsHost) bind(r *Request) {
	res, full := h.tryBind(r)
	if full == nil {
		h.send(r, res)
		return
	}
	if full == balancer.ErrNoUpstream {
		h.notSent(r)
		return
	}
	r.waiting = h.now()
	r.entry = &queue.Entry[*Request]{Value: r, Priority: queue.Normal, Deadline: r.Deadline}
	reason, out := h.queue.Push(h.now(), r.entry, h.pace())
	if out != nil {
		h.notSent(out.Value)
	}
	if reason != queue.Kept {
		h.notSent(r)
		return
	}
	if full == errLimit {
		h.wake(1)
	}
	h.tick()
}

// notSent gives a request up that found no place.
func (h *partsHost) notSent(r *Request) {
	if r.Attempts > 0 {
		h.budget.Refund()
	}
	r.entry = nil
	h.env.Finish(r, false)
}

// tryBind picks an upstream if a place in the limit and a slot are free now.
func (h *partsHost) tryBind(r *Request) (balancer.Result, error) {
	if h.queue.Len() > 0 || !h.limiter.Acquire(0) {
		return balancer.Result{}, errLimit
	}
	return h.pick(r, 0)
}

// pick chooses an upstream, or gives the place in the limit back.
func (h *partsHost) pick(r *Request, waited time.Duration) (balancer.Result, error) {
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

// wake hands a place in the limit to the next n that wait.
func (h *partsHost) wake(n int) {
	h.lastWake = h.now()
	for _, given := range h.queue.GiveUp(h.now(), h.pace()) {
		h.notSent(given.Entry.Value)
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
		h.resume(e)
	}
}

// resume picks for a request that was woken.
func (h *partsHost) resume(e *queue.Entry[*Request]) {
	r := e.Value
	res, err := h.pick(r, h.now().Sub(r.waiting))
	switch err {
	case nil:
		r.entry = nil
		h.send(r, res)
	case balancer.ErrNoSlot:
		h.queue.Return(e)
		h.tick()
	default:
		h.notSent(r)
	}
}

// tick wakes the queue after the hint interval if nothing else does.
func (h *partsHost) tick() {
	if h.ticking || h.queue.Len() == 0 {
		return
	}
	h.ticking = true
	h.env.Clock().After(hintInterval, func() {
		h.ticking = false
		if h.now().Sub(h.lastWake) >= hintInterval {
			h.wake(1)
		}
		h.tick()
	})
}

func (h *partsHost) pace() queue.Pace {
	_, inFlight := h.limiter.Limit()
	return queue.Pace{Service: h.service.Mean(), Parallel: inFlight}
}

// send sends a request that was bound.
func (h *partsHost) send(r *Request, res balancer.Result) {
	r.Tried = append(r.Tried, res.Upstream)
	r.sending++
	r.cancels = append(r.cancels, h.env.Send(r, res.Upstream, func(f balancer.Feedback) {
		r.sending--
		h.release(r, f)
		h.ended(r, f)
	}))
	if r.Attempts == 1 {
		h.budget.First()
		h.watch(r, res)
	}
}

// release tells the limit and the queue of the end of a send.
func (h *partsHost) release(r *Request, f balancer.Feedback) {
	s := limit.Sample{Outcome: limit.Ignored, Latency: f.Latency}
	switch {
	case f.Outcome == balancer.Answered:
		s.Outcome = limit.Answered
		s.Pressure = float64(f.Report.InFlight) / slotsPerUpstream
		h.latency.Observe(f.Latency)
		h.service.Observe(f.Latency)
	case f.Outcome == balancer.Refused, f.Outcome == balancer.Cancelled && !h.now().Before(r.Deadline):
		s.Outcome = limit.Refused
	}
	reason := h.limiter.Release(s)
	if h.queue.Len() == 0 {
		return
	}
	if reason == limit.Grew || reason == limit.Relearned {
		h.wake(2)
		return
	}
	h.wake(1)
}

// ended finishes a request, or sends it once more.
func (h *partsHost) ended(r *Request, f balancer.Feedback) {
	switch {
	case f.Outcome == balancer.Answered:
		h.env.Finish(r, !f.Now.After(r.Deadline))
		r.cancelOthers()
	case r.finished || r.sending > 0:
	case retry.Decide(h.attempt(r, kindOf(f.Outcome)), h.budget) == retry.Allowed:
		h.bind(r)
	default:
		h.env.Finish(r, false)
	}
}

func kindOf(o balancer.Outcome) errkind.Kind {
	if o == balancer.Refused {
		return errkind.UpstreamRefused
	}
	return errkind.UpstreamBroken
}

func (h *partsHost) attempt(r *Request, kind errkind.Kind) retry.Attempt {
	return retry.Attempt{
		Kind:        kind,
		Repeatable:  true,
		Sent:        r.Attempts,
		MaxAttempts: config.DefaultMaxAttempts,
		Left:        r.Deadline.Sub(h.now()),
		Expected:    h.latency.Quantile(medianQuantile),
	}
}

package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// errLimitReached means that the group's limit is reached or that other requests are queued.
var errLimitReached = errors.New("limit reached")

// groupState holds the limiter and the queue of one group on this entry host. It is
// carried over between snapshots and is safe for concurrent use.
type groupState struct {
	// serviceName is the service of the upstreams in the lifecycle registry.
	serviceName string
	current     currentGroup
	limiter     *limit.Limiter // nil without a limit
	// budget is shared by all rules of a registered service; nil for other groups.
	budget *retry.Budget
	// borrowPause stops the requests to other hosts for extra attempts after a refusal.
	borrowPause retry.BorrowPause
	// levels decides on extra attempts while the budget is short.
	levels retry.Levels
	// queryBudget limits the load queries to the upstreams.
	queryBudget queryBudget
	service     queue.ServiceTime
	excess      limit.Excess
	// bytes is the average over all rules of the group.
	bytes byteAverage
	// crossing is the state of the events on crossings.
	crossing crossingState
	// retrySchedule assigns times to return to callers that were refused because no time
	// slot was left.
	retrySchedule limit.RetrySchedule
	// waiting mirrors the queue's length, so that the common case needs no lock.
	waiting atomic.Int64
	// pending counts the requests that wait, including those that were woken and are looking
	// for a slot.
	pending atomic.Int64
	// finished counts ended attempts, to detect one that ends between a pick and a push.
	finished atomic.Uint64
	// inFlight counts this host's requests in flight at the upstreams.
	inFlight atomic.Int64
	// lastWake is the time when a queued request was last woken, in Unix nanoseconds.
	lastWake atomic.Int64

	mu    sync.Mutex
	queue *queue.Queue[*waiter]
}

func newGroupState(owner string, limiter *limit.Limiter, maxWaiting int) *groupState {
	return &groupState{serviceName: owner, limiter: limiter, queue: queue.New[*waiter](maxWaiting)}
}

// configure applies a new snapshot of the group; hosts is the number of entry hosts that
// share it.
func (g *groupState) configure(group *routing.Group, hosts int) {
	g.current.Store(group)
	g.limiter.SetBounds(limit.GroupBounds(slotsOf(group.Config), hosts))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetMax(group.Config.Queue.MaxWaiting)
}

// acquire takes a permit from the limiter for a request that is not queued. It fails
// while others are queued, so that none of them is overtaken.
func (g *groupState) acquire(p queue.Priority) bool {
	return g.waiting.Load() == 0 && g.limiter.Acquire(headroom(p))
}

// headroom returns how far a priority may exceed the limit. High priority may: the queues
// that this builds at the upstreams lower the limit and thereby the share of the low
// priority.
func headroom(p queue.Priority) float64 {
	if p == queue.High {
		return limit.Headroom
	}
	return 0
}

// release records the end of an attempt and wakes requests that wait for its permit.
func (g *groupState) release(now time.Time, f feedback) limit.Reason {
	if f.outcome == limit.Answered {
		g.service.Observe(f.latency)
	}
	reason := g.limiter.Release(limit.Sample{Outcome: f.outcome, Latency: f.latency, Pressure: f.pressure()})
	g.finished.Add(1)
	if g.waiting.Load() > 0 {
		g.wake(now, wakeCount(reason))
	}
	return reason
}

// wakeCount returns the number of queued requests to wake when an attempt ends: one, and
// one more if the limit has increased. If more were woken, they would race for one slot
// and the lower priority might win.
func wakeCount(reason limit.Reason) int {
	if reason == limit.Increased || reason == limit.Relearned {
		return 2
	}
	return 1
}

// push adds w to the queue. It returns queue.Queued or the reason of the refusal.
func (g *groupState) push(now time.Time, w *waiter) queue.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason, out := g.queue.Push(now, &w.entry, g.pace())
	if out != nil {
		out.Value.signal <- queue.Evicted
	}
	g.waiting.Store(int64(g.queue.Len()))
	return reason
}

// requeue returns w to the queue after it was woken and found no slot.
func (g *groupState) requeue(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Return(&w.entry)
	g.waiting.Store(int64(g.queue.Len()))
}

// remove removes w from the queue. It returns false if w was already removed and has
// received, or will receive, a signal.
func (g *groupState) remove(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.queue.Remove(&w.entry)
	g.waiting.Store(int64(g.queue.Len()))
	return removed
}

// wake drops the requests that can't be served in time and passes a permit to each of the
// next n.
func (g *groupState) wake(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastWake.Store(now.UnixNano())
	for _, dropped := range g.queue.DropExpired(now, g.pace()) {
		dropped.Entry.Value.signal <- dropped.Reason
	}
	for range n {
		if !g.passPermit(g.queue.Take()) {
			break
		}
	}
	g.waiting.Store(int64(g.queue.Len()))
}

// wakeAfter passes a permit to the request that is queued after w. It is no wake for recheck:
// a pass over requests that all stay in the queue must not delay the next one.
func (g *groupState) wakeAfter(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passPermit(g.queue.TakeAfter(&w.entry))
	g.waiting.Store(int64(g.queue.Len()))
}

// passPermit passes a permit to an entry that was taken. It returns false if e is nil or no
// permit is left; e is then queued again. The caller must hold mu.
func (g *groupState) passPermit(e *queue.Entry[*waiter]) bool {
	if e == nil {
		return false
	}
	if !g.limiter.Acquire(headroom(e.Priority)) {
		g.queue.Return(e)
		return false
	}
	e.Value.signal <- queue.Queued
	return true
}

// recheck wakes one queued request if none was woken for interval: a slot may have become
// free without a response to this entry host.
func (g *groupState) recheck(now time.Time, interval time.Duration) {
	if now.UnixNano()-g.lastWake.Load() >= int64(interval) {
		g.queryBudget.addRecheck()
		g.wake(now, 1)
	}
}

// pace returns the rate at which this entry host gets responses from the group.
func (g *groupState) pace() queue.Pace {
	return queue.Pace{Service: g.service.Mean(), Parallel: int(g.inFlight.Load())}
}

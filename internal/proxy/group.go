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

// errLimit means that the group's limit is reached, or that others wait.
var errLimitReached = errors.New("limit reached")

// groupState is the limit and the queue of one group on this entry host. It
// outlives snapshots and is safe for concurrent use.
type groupState struct {
	// owner is the service that the lifecycle knows the upstreams under.
	serviceName string
	current     currentGroup
	limiter     *limit.Limiter // nil without a limit
	// budget is what all rules of a registered service share; else nil.
	budget *retry.Budget
	// questions bounds how often the upstreams are asked for their load.
	queryBudget queryBudget
	service     queue.ServiceTime
	excess      limit.Excess
	// turns are those promised to callers that were refused for want of one.
	retrySchedule limit.RetrySchedule
	// waiting mirrors the queue's length, so that the usual case takes no lock.
	waiting atomic.Int64
	// held counts the requests that wait, those included that were woken and look for a slot.
	pending atomic.Int64
	// ends counts sends that ended, to notice one between a pick and a push.
	finished atomic.Uint64
	// inFlight counts this host's requests at the upstreams.
	inFlight atomic.Int64
	// lastWake is when a waiting request was last woken, in Unix nanoseconds.
	lastWake atomic.Int64

	mu    sync.Mutex
	queue *queue.Queue[*waiter]
}

func newGroupState(owner string, limiter *limit.Limiter, maxWaiting int) *groupState {
	return &groupState{serviceName: owner, limiter: limiter, queue: queue.New[*waiter](maxWaiting)}
}

// configure takes a new snapshot of the group into use, on one of hosts entry
// hosts.
func (g *groupState) configure(group *routing.Group, hosts int) {
	g.current.Store(group)
	g.limiter.SetBounds(limit.GroupBounds(slotsOf(group.Config), hosts))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetMax(group.Config.Queue.MaxWaiting)
}

// acquire takes a place in the limit for a request that doesn't wait. It fails
// while others wait, so that none is overtaken.
func (g *groupState) acquire(p queue.Priority) bool {
	return g.waiting.Load() == 0 && g.limiter.Acquire(headroom(p))
}

// headroom lets the high priority go beyond the limit. The queues that this
// makes at the upstreams shrink the limit, and so the low priority's share.
func headroom(p queue.Priority) float64 {
	if p == queue.High {
		return limit.Headroom
	}
	return 0
}

// release ends a send and wakes the requests that wait for its place.
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

// wakeCount is the number of waiting requests to wake when one ended: one, and
// one more where the limit has grown. Waking more lets them race for one slot,
// and the lower priority may win.
func wakeCount(reason limit.Reason) int {
	if reason == limit.Grew || reason == limit.Relearned {
		return 2
	}
	return 1
}

// push lets w wait. It returns queue.Kept or why it was refused.
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

// putBack lets w wait on after it was woken and found no slot.
func (g *groupState) requeue(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Return(&w.entry)
	g.waiting.Store(int64(g.queue.Len()))
}

// remove takes w out of the queue. It reports false when w was already taken
// out and has, or will have, a signal.
func (g *groupState) remove(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.queue.Remove(&w.entry)
	g.waiting.Store(int64(g.queue.Len()))
	return removed
}

// wake gives up the requests that can't be served in time and hands a place
// in the limit to each of the next n.
func (g *groupState) wake(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastWake.Store(now.UnixNano())
	for _, given := range g.queue.GiveUp(now, g.pace()) {
		given.Entry.Value.signal <- given.Reason
	}
	for range n {
		e := g.queue.Take()
		if e == nil {
			break
		}
		if !g.limiter.Acquire(headroom(e.Priority)) {
			g.queue.Return(e)
			break
		}
		e.Value.signal <- queue.Kept
	}
	g.waiting.Store(int64(g.queue.Len()))
}

// hint wakes one waiting request if none was woken for interval: a slot may
// have become free without an answer to this entry host.
func (g *groupState) recheck(now time.Time, interval time.Duration) {
	if now.UnixNano()-g.lastWake.Load() >= int64(interval) {
		g.queryBudget.addRecheck()
		g.wake(now, 1)
	}
}

// pace is how fast this entry host gets answers from the group.
func (g *groupState) pace() queue.Pace {
	return queue.Pace{Service: g.service.Mean(), Parallel: int(g.inFlight.Load())}
}

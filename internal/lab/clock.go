package lab

import (
	"container/heap"
	"time"
)

// epoch is the wall time at which virtual time starts.
var epoch = time.Unix(1_000_000_000, 0)

// Clock is a queue of events in virtual time. It is used by one goroutine.
type Clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// Now returns the virtual time as a wall time.
func (c *Clock) Now() time.Time { return epoch.Add(c.now) }

// Elapsed returns the virtual time since the start of the run.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After runs f when d has elapsed. Events of one instant run in the order of
// their calls to After.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, timedEvent{c.now + max(d, 0), c.seq, f})
}

// run processes events until the given time.
func (c *Clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(timedEvent)
		c.now = e.at
		e.run()
	}
	c.now = until
}

type timedEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = timedEvent{}
	*h = old[:last]
	return e
}

package lab

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_000_000_000, 0)

// Clock is an event queue in virtual time. It is not safe for concurrent use.
type Clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// Now returns the virtual time as a wall-clock time.
func (c *Clock) Now() time.Time { return epoch.Add(c.now) }

// Elapsed returns the virtual time since the start of the run.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After schedules f to run when d has elapsed. Events with the same time run in
// the order in which they were scheduled.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{c.now + max(d, 0), c.seq, f})
}

// run processes the events up to the given time, inclusive.
func (c *Clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(scheduledEvent)
		c.now = e.at
		e.run()
	}
	c.now = until
}

type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = scheduledEvent{}
	*h = old[:last]
	return e
}

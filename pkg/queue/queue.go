// Package queue holds the requests that wait on one entry host for a free slot
// of an upstream group.
//
// The queue is bounded and ordered by priority, then by target. A request that
// can't be answered within its target at the observed pace is given up at once, and
// none waits longer than half of the time that it had. When the queue is full,
// the highest priority pushes out the lowest. One in FairEvery takes goes to
// the lowest priority that waits, so that none starves for ever.
//
// Nothing here reads a clock, starts a goroutine or blocks. A Queue is not
// safe for concurrent use; a ServiceTime is.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Priority orders entries; a lower number goes first.
type Priority uint8

// The priorities, first to last.
const (
	High Priority = iota
	Normal
	Low
)

const (
	// FairEvery is the number of takes of which one goes to the lowest priority.
	FairEvery = 16
	// waitShare divides the time that an entry had at arrival; it waits no longer.
	waitShare = 2
)

// Reason says why an entry was not kept. It is a constant text for events.
type Reason string

// The reasons for giving an entry up.
const (
	// Queued means that the entry waits.
	Queued Reason = ""
	// Full is a queue full of entries of the same or a higher priority.
	Full Reason = "queue-full"
	// Evicted is an entry that made room for a higher priority.
	Evicted Reason = "pushed-out"
	// DeadlineUnreachable is an entry that can't be answered within its target.
	DeadlineUnreachable Reason = "cannot-make-deadline"
	// WaitLimitReached is an entry that waited half of the time that it had.
	WaitLimitReached Reason = "waited-half-its-time"
)

// Entry is one waiting request. The same Entry is handed back when it leaves.
type Entry[T any] struct {
	// Value is the caller's.
	Value T
	// Priority comes first in the order.
	Priority Priority
	// Target is when the target latency passes; it comes second in the order. Zero
	// means Deadline.
	Target time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Service is how long the request takes at an upstream; 0 means the pace's.
	Service time.Duration

	seq    uint64
	giveUp time.Time
}

// Dropped is an entry that was given up, and why.
type Dropped[T any] struct {
	// Entry is the entry; it is no longer in the queue.
	Entry *Entry[T]
	// Reason says which bound gave it up.
	Reason Reason
}

// Queue is a bounded queue of entries.
type Queue[T any] struct {
	entries []*Entry[T]
	max     int
	seq     uint64
	takes   uint64
}

// New returns an empty queue that holds at most max entries.
func New[T any](max int) *Queue[T] { return &Queue[T]{max: max} }

// SetMax changes the bound. Entries over it stay until they leave.
func (q *Queue[T]) SetMax(max int) { q.max = max }

// Len returns the number of entries that wait.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds e at now. It returns Queued, or the reason why e was refused. In a
// full queue, the entry that e pushed out is returned too; otherwise nil.
func (q *Queue[T]) Push(now time.Time, e *Entry[T], p Pace) (Reason, *Entry[T]) {
	q.seq++
	e.seq = q.seq
	e.giveUp = now.Add(e.Deadline.Sub(now) / waitShare)
	if e.Target.IsZero() {
		e.Target = e.Deadline
	}
	at := q.place(e)
	if reason := e.reject(now, at, p); reason != Queued {
		return reason, nil
	}
	var out *Entry[T]
	if len(q.entries) >= q.max {
		last := len(q.entries) - 1
		if last < 0 || q.entries[last].Priority <= e.Priority {
			return Full, nil
		}
		out = q.entries[last]
		q.entries = slices.Delete(q.entries, last, last+1)
	}
	q.entries = slices.Insert(q.entries, at, e)
	return Queued, out
}

// Return puts back an entry that was taken but found no slot. It keeps its
// place and its bound on waiting, and may exceed the queue's bound. The take
// does not count.
func (q *Queue[T]) Return(e *Entry[T]) {
	q.takes--
	q.entries = slices.Insert(q.entries, q.place(e), e)
}

// Take removes and returns the entry whose turn it is, or nil.
func (q *Queue[T]) Take() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	q.takes++
	at := 0
	if q.takes%FairEvery == 0 {
		at = q.firstOfLowest()
	}
	e := q.entries[at]
	q.entries = slices.Delete(q.entries, at, at+1)
	return e
}

// Remove takes e out of the queue. It reports false if e is not in it.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	at := slices.Index(q.entries, e)
	if at < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, at, at+1)
	return true
}

// DropExpired removes and returns the entries that can't be served in time any
// more, in queue order.
func (q *Queue[T]) DropExpired(now time.Time, p Pace) []Dropped[T] {
	var out []Dropped[T]
	kept := q.entries[:0]
	for _, e := range q.entries {
		if reason := e.reject(now, len(kept), p); reason != Queued {
			out = append(out, Dropped[T]{e, reason})
			continue
		}
		kept = append(kept, e)
	}
	clear(q.entries[len(kept):])
	q.entries = kept
	return out
}

// place returns the index at which e belongs.
func (q *Queue[T]) place(e *Entry[T]) int {
	at, _ := slices.BinarySearchFunc(q.entries, e, order[T])
	return at
}

func (q *Queue[T]) firstOfLowest() int {
	lowest := q.entries[len(q.entries)-1].Priority
	at, _ := slices.BinarySearchFunc(q.entries, lowest, func(e *Entry[T], p Priority) int {
		return cmp.Compare(e.Priority, p)
	})
	return at
}

func order[T any](a, b *Entry[T]) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.Target.Compare(b.Target),
		cmp.Compare(a.seq, b.seq),
	)
}

// service is how long e takes at an upstream.
func (e *Entry[T]) service(p Pace) time.Duration {
	if e.Service > 0 {
		return e.Service
	}
	return p.Service
}

// reject says why e, with ahead entries before it, should not wait.
func (e *Entry[T]) reject(now time.Time, ahead int, p Pace) Reason {
	wait := p.wait(ahead)
	if now.Add(wait + e.service(p)).After(e.Target) {
		return DeadlineUnreachable
	}
	if now.Add(wait).After(e.giveUp) {
		return WaitLimitReached
	}
	return Queued
}

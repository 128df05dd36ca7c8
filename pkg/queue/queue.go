// Package queue holds the requests that wait on one entry host for a free slot
// of an upstream group.
//
// The queue is bounded and ordered by priority, then by target; a request whose caller
// waited as it was told counts as if its target was 50 ms earlier. A request that
// can't be answered within its target at the current pace is dropped at once, and
// none waits longer than half of the time between its arrival and its deadline. If
// the queue is full, a new entry evicts the last one if that has a lower priority.
// One in FairEvery takes serves the lowest queued priority, so that it does not
// starve.
//
// The package reads no clock, starts no goroutines and does not block. A Queue is
// not safe for concurrent use; a ServiceTime is.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Priority orders entries; a lower number goes first.
type Priority uint8

// The priorities, highest first.
const (
	High Priority = iota
	Normal
	Low
)

const (
	// FairEvery is the number of takes of which one serves the lowest queued priority.
	FairEvery = 16
	// waitShare is the divisor of the time between an entry's arrival and its deadline
	// that gives its longest wait.
	waitShare = 2
	// waitedLead is how much later the target of an entry whose caller waited as it was told
	// may be for the entry to go before others of the same priority.
	waitedLead = 50 * time.Millisecond
)

// Reason states why an entry was rejected or dropped. The texts appear in events.
type Reason string

// The values of Reason.
const (
	// Queued means that the entry is queued.
	Queued Reason = ""
	// Full means that the queue is full of entries of the same or a higher priority.
	Full Reason = "queue-full"
	// Evicted means that an entry of a higher priority took the place of the entry.
	Evicted Reason = "pushed-out"
	// DeadlineUnreachable means that the entry can't be answered within its target.
	DeadlineUnreachable Reason = "cannot-make-deadline"
	// WaitLimitReached means that the entry's longest wait has passed, or would pass before
	// it is served.
	WaitLimitReached Reason = "waited-half-its-time"
)

// Entry is one queued request. Methods that take entries out return the same pointer.
type Entry[T any] struct {
	// Value belongs to the user of the queue.
	Value T
	// Priority is the first sort key.
	Priority Priority
	// Target is when the target latency is exceeded; it is the second sort key. Zero means
	// Deadline.
	Target time.Time
	// Deadline is when the caller stops waiting for a response.
	Deadline time.Time
	// Service is the expected service time at an upstream; 0 means that of the pace.
	Service time.Duration
	// Waited is set if the caller was refused and came back at the time that it was told. It
	// must not be changed while the entry is queued; Promote sets it.
	Waited bool

	seq       uint64
	waitLimit time.Time
	taken     take
}

// take states how an entry was last taken out of the queue.
type take uint8

const (
	inTurn take = iota
	// outOfTurn is a take of the lowest priority, for FairEvery.
	outOfTurn
	// afterAnother is a take that does not count towards FairEvery.
	afterAnother
)

// Dropped is an entry that was dropped.
type Dropped[T any] struct {
	// Entry is no longer in the queue.
	Entry *Entry[T]
	// Reason is the bound that the entry exceeded.
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

// SetMax changes the bound. Queued entries above it are not evicted.
func (q *Queue[T]) SetMax(max int) { q.max = max }

// Len returns the number of queued entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds e. It returns Queued, or the reason why e was rejected, and the entry that e
// evicted from a full queue, if any.
func (q *Queue[T]) Push(now time.Time, e *Entry[T], p Pace) (Reason, *Entry[T]) {
	q.seq++
	e.seq = q.seq
	e.waitLimit = now.Add(e.Deadline.Sub(now) / waitShare)
	if e.Target.IsZero() {
		e.Target = e.Deadline
	}
	at := q.position(e)
	if reason := e.reject(now, at, p); reason != Queued {
		return reason, nil
	}
	var evicted *Entry[T]
	if len(q.entries) >= q.max {
		last := len(q.entries) - 1
		if last < 0 || q.entries[last].Priority <= e.Priority {
			return Full, nil
		}
		evicted = q.entries[last]
		q.entries = slices.Delete(q.entries, last, last+1)
	}
	q.entries = slices.Insert(q.entries, at, e)
	return Queued, evicted
}

// Return puts back an entry that was taken but found no free slot. The entry keeps its
// position and its longest wait, and may exceed the queue's bound. The take does not count
// towards FairEvery.
func (q *Queue[T]) Return(e *Entry[T]) {
	if e.taken != afterAnother {
		q.takes--
	}
	q.entries = slices.Insert(q.entries, q.position(e), e)
}

// Take removes and returns the next entry, or nil if the queue is empty.
func (q *Queue[T]) Take() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	q.takes++
	if q.takes%FairEvery == 0 {
		return q.takeAt(q.firstOfLowest(), outOfTurn)
	}
	return q.takeAt(0, inTurn)
}

// TakeAfter removes and returns the entry after e, which was taken, or nil if e was the last
// one. After an entry that was taken for FairEvery it starts with the first entry. A pass that
// takes each entry after the one before visits no entry more than twice. These takes do not
// count towards FairEvery.
func (q *Queue[T]) TakeAfter(e *Entry[T]) *Entry[T] {
	at := 0
	if e.taken != outOfTurn {
		at = q.position(e)
	}
	if at == len(q.entries) {
		return nil
	}
	return q.takeAt(at, afterAnother)
}

func (q *Queue[T]) takeAt(at int, how take) *Entry[T] {
	e := q.entries[at]
	q.entries = slices.Delete(q.entries, at, at+1)
	e.taken = how
	return e
}

// Remove removes e from the queue. It returns false if e is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	at := slices.Index(q.entries, e)
	if at < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, at, at+1)
	return true
}

// Promote sets Waited of e, and moves e if it is queued.
func (q *Queue[T]) Promote(e *Entry[T]) {
	queued := q.Remove(e)
	e.Waited = true
	if queued {
		q.entries = slices.Insert(q.entries, q.position(e), e)
	}
}

// DropExpired removes and returns the entries that can no longer be served in time, in queue
// order.
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

// position returns the index at which e belongs.
func (q *Queue[T]) position(e *Entry[T]) int {
	at, _ := slices.BinarySearchFunc(q.entries, e, compare[T])
	return at
}

func (q *Queue[T]) firstOfLowest() int {
	lowest := q.entries[len(q.entries)-1].Priority
	at, _ := slices.BinarySearchFunc(q.entries, lowest, func(e *Entry[T], p Priority) int {
		return cmp.Compare(e.Priority, p)
	})
	return at
}

func compare[T any](a, b *Entry[T]) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.orderTarget().Compare(b.orderTarget()),
		cmp.Compare(a.seq, b.seq),
	)
}

// orderTarget returns the target by which e is ordered.
func (e *Entry[T]) orderTarget() time.Time {
	if e.Waited {
		return e.Target.Add(-waitedLead)
	}
	return e.Target
}

// serviceTime returns the expected service time of e at an upstream.
func (e *Entry[T]) serviceTime(p Pace) time.Duration {
	if e.Service > 0 {
		return e.Service
	}
	return p.Service
}

// reject returns the reason why e, with ahead entries before it, should not be queued, or
// Queued.
func (e *Entry[T]) reject(now time.Time, ahead int, p Pace) Reason {
	wait := p.wait(ahead)
	if now.Add(wait + e.serviceTime(p)).After(e.Target) {
		return DeadlineUnreachable
	}
	if now.Add(wait).After(e.waitLimit) {
		return WaitLimitReached
	}
	return Queued
}

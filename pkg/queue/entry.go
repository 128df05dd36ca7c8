package queue

import (
	"cmp"
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

// Reason says why an entry was not kept. It is a constant text for events.
type Reason string

// The reasons for giving an entry up.
const (
	// Kept means that the entry waits.
	Kept Reason = ""
	// Full is a queue full of entries of the same or a higher priority.
	Full Reason = "queue-full"
	// PushedOut is an entry that made room for a higher priority.
	PushedOut Reason = "pushed-out"
	// TooLate is an entry that can't be answered before its deadline.
	TooLate Reason = "cannot-make-deadline"
	// WaitedEnough is an entry that waited half of the time that it had.
	WaitedEnough Reason = "waited-half-its-time"
)

// Entry is one waiting request. The same Entry is handed back when it leaves.
type Entry[T any] struct {
	// Value is the caller's.
	Value T
	// Priority comes first in the order.
	Priority Priority
	// Target is until when an answer has its whole worth; zero means Deadline.
	Target time.Time
	// Deadline is until when an answer has any worth.
	Deadline time.Time
	// Service is how long the request takes at an upstream; 0 means the pace's.
	Service time.Duration

	seq    uint64
	late   bool
	giveUp time.Time
	// share is what the last take changed in the queue's share of late takes.
	share float64
}

// GivenUp is an entry that was given up, and why.
type GivenUp[T any] struct {
	// Entry is the entry; it is no longer in the queue.
	Entry *Entry[T]
	// Reason says which bound gave it up.
	Reason Reason
}

// service is how long e takes at an upstream.
func (e *Entry[T]) service(p Pace) time.Duration {
	if e.Service > 0 {
		return e.Service
	}
	return p.Service
}

// Late reports whether e can't be answered within its target, as far as the queue
// knew at the last call that it was part of.
func (e *Entry[T]) Late() bool { return e.late }

// before reports whether e is worth more than out, which then makes room.
func before[T any](e, out *Entry[T]) bool {
	if e.late != out.late {
		return out.late
	}
	return e.Priority < out.Priority
}

func byTarget[T any](a, b *Entry[T]) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.Target.Compare(b.Target),
		cmp.Compare(a.seq, b.seq),
	)
}

func byDeadline[T any](a, b *Entry[T]) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.seq, b.seq),
	)
}

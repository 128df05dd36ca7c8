package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/queue"
)

const ms = time.Millisecond

// withTarget is an entry whose answer has its whole worth until the target.
func withTarget(v string, target, deadline time.Duration) *queue.Entry[string] {
	e := entry(v, queue.Normal, deadline)
	e.Target = start.Add(target)
	return e
}

// TestTheLateComeLast: an entry that missed its target while it waited makes way
// for younger ones, and is served when none of them waits.
func TestTheLateComeLast(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](8)
	pace := queue.Pace{Service: 200 * ms, Parallel: 4}
	for _, e := range []*queue.Entry[string]{withTarget("old", 300*ms, 2000*ms), withTarget("young", 600*ms, 2000*ms)} {
		reason, _ := q.Push(start, e, pace)
		is.Equal(reason, queue.Kept)
	}
	later := start.Add(150 * ms)
	is.Equal(q.Take(later, pace).Value, "young")
	old := q.Take(later, pace)
	is.Equal(old.Value, "old")
	is.True(old.Late())
}

// TestNoPlaceInTime: with many before it, an entry counts as late at once.
func TestNoPlaceInTime(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](64)
	pace := queue.Pace{Service: 100 * ms, Parallel: 1}
	var last *queue.Entry[string]
	for range 4 {
		last = withTarget("", 300*ms, 5000*ms)
		reason, _ := q.Push(start, last, pace)
		is.Equal(reason, queue.Kept)
	}
	is.True(last.Late())
}

// TestLateAreRefusedAtOnceWhileOthersTakeAll: in a lasting overload the late get
// nothing; those that come then are told at once. When it is over they may wait.
func TestLateAreRefusedAtOnceWhileOthersTakeAll(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](64)
	pace := queue.Pace{Service: 100 * ms, Parallel: 4}
	late := func() queue.Reason {
		reason, _ := q.Push(start, withTarget("late", 50*ms, 400*ms), pace)
		return reason
	}
	is.Equal(late(), queue.Kept)
	for range 200 {
		q.Push(start, withTarget("timely", 600*ms, 2000*ms), pace)
		q.Push(start, withTarget("timely", 600*ms, 2000*ms), pace)
		q.Take(start, pace)
		if q.Len() > 4 {
			q.Take(start, pace)
		}
	}
	is.Equal(late(), queue.TooLate)
	for q.Take(start, pace) != nil {
	}
	is.Equal(late(), queue.Kept)
}

// TestLateAreNotStarved: one take in FairEvery is theirs.
func TestLateAreNotStarved(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](64)
	pace := queue.Pace{Service: 100 * ms, Parallel: 4}
	q.Push(start, withTarget("late", 50*ms, 2000*ms), pace)
	takes := 0
	for {
		q.Push(start, withTarget("timely", 600*ms, 2000*ms), pace)
		takes++
		if q.Take(start, pace).Value == "late" {
			break
		}
	}
	is.True(takes <= queue.FairEvery)
}

// TestTimelyPushesOutLate of the same priority, when the queue is full.
func TestTimelyPushesOutLate(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](1)
	pace := queue.Pace{Service: 100 * ms, Parallel: 4}
	q.Push(start, withTarget("late", 50*ms, 2000*ms), pace)
	reason, out := q.Push(start, withTarget("timely", 600*ms, 2000*ms), pace)
	is.Equal(reason, queue.Kept)
	is.Equal(out.Value, "late")
}

// TestNobodyWaitsUntilTheDeadline: what can't be served is told at half of its
// time at the latest.
func TestNobodyWaitsUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](8)
	pace := queue.Pace{Service: 10 * ms, Parallel: 4}
	q.Push(start, withTarget("", 300*ms, 2000*ms), pace)
	is.Equal(len(q.GiveUp(start.Add(990*ms), pace)), 0)
	given := q.GiveUp(start.Add(1010*ms), pace)
	is.Equal(len(given), 1)
	is.Equal(given[0].Reason, queue.WaitedEnough)
}

// TestReturnTakesTheShareBack: looks that find no slot don't count as served.
func TestReturnTakesTheShareBack(t *testing.T) {
	is := is.New(t)
	q := queue.New[string](8)
	pace := queue.Pace{Service: 100 * ms, Parallel: 4}
	q.Push(start, withTarget("timely", 600*ms, 2000*ms), pace)
	q.Push(start, withTarget("late", 50*ms, 2000*ms), pace)
	for range 500 {
		q.Return(q.Take(start, pace))
	}
	reason, _ := q.Push(start, withTarget("late", 50*ms, 2000*ms), pace)
	is.Equal(reason, queue.Kept)
}

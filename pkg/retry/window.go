package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// WindowLength is the time over which a window bounds the extra attempts.
	WindowLength = 10 * time.Second
	// windowTicks is the number of completed intervals in a window.
	windowTicks = int(WindowLength / TickInterval)
	// forecastPercent is the part of the recent load that a host expects to continue until the
	// end of a window that has already begun. When the load of 102 hosts with a fixed part of
	// 168 fell to a tenth over 8 s, the worst window was 47 below the bound with 50, and 14
	// above it with 100.
	forecastPercent = 50
)

// interval holds the counts of one TickInterval.
type interval struct {
	first, extra int64
}

// window bounds the extra attempts in every period of WindowLength to a share of the first
// attempts in the same period plus a fixed part. The last WindowLength alone does not show
// this: when the load falls, first attempts that leave the window permitted extra attempts
// that stay in it. So the window also checks each shorter period up to now, for which it
// expects part of the recent load to continue.
//
// All checks but the counts of the current interval are combined into one number per
// interval, so that an attempt costs a few atomic operations.
type window struct {
	// current holds the number of the current interval in the upper 32 bits and its extra
	// attempts in the lower ones, so that neither changes without the other being checked.
	current atomic.Uint64
	// room is the bound of extra attempts in the current interval, in stored units, before
	// the share of its first attempts.
	room atomic.Int64
	// free is the part of the fixed part and of the share of the last windowTicks intervals
	// that was not used, and bound the whole of it, in stored units.
	free, bound atomic.Int64

	// past holds the completed intervals, the latest first. It is accessed only by the
	// goroutine that calls Tick.
	past [windowTicks]interval
}

// noRoom denies all extra attempts.
const noRoom = math.MinInt64 / 2

// advance ends the current interval, in which there were first first attempts. No extra
// attempts are allowed until update is called. If n intervals have elapsed, the first attempts
// count for the earliest and the extra attempts for the latest of them, so that no period
// permits more than it does if the calls are on time.
func (w *window) advance(n int, first int64) {
	w.room.Store(noRoom)
	for i := range n {
		copy(w.past[1:], w.past[:windowTicks-1])
		w.past[0] = interval{}
		if i == 0 {
			w.past[0].first = first
		}
	}
	w.past[0].extra = w.next()
}

// next begins the next interval and returns the extra attempts of the one that ended.
func (w *window) next() int64 {
	for {
		current := w.current.Load()
		number, extra := split(current)
		if w.current.CompareAndSwap(current, uint64(number+1)<<intervalShift) {
			return extra
		}
	}
}

// intervalShift is the position of the interval number in window.current.
const intervalShift = 32

// split returns the interval number and the extra attempts in a value of window.current.
func split(current uint64) (number uint32, extra int64) {
	return uint32(current >> intervalShift), int64(uint32(current))
}

// number returns the number of the current interval.
func (w *window) number() uint32 {
	if w == nil {
		return 0
	}
	number, _ := split(w.current.Load())
	return number
}

// extra returns the extra attempts in the current interval.
func (w *window) extra() int64 {
	_, extra := split(w.current.Load())
	return extra
}

// update computes the bounds of the current interval. Share is the part of a token that each
// first attempt adds and fixed the fixed part, in stored units.
func (w *window) update(share, fixed int64) {
	recent := int64(0)
	for _, i := range w.past[:sharedHistoryTicks] {
		recent += i.first
	}
	first, extra := int64(0), int64(0)
	room := fixed + w.forecast(recent, 0)*share/percent
	for n, i := range w.past {
		first += i.first
		extra += i.extra
		expected := first*percent + w.forecast(recent, n+1)
		room = min(room, fixed+expected*share/percent-extra*unitsPerToken)
	}
	w.room.Store(room)
	w.bound.Store(fixed + first*share)
	w.free.Store(fixed + first*share - extra*unitsPerToken)
}

// percent is the number of hundredths in one.
const percent = 100

// forecast returns the first attempts, in hundredths, that are expected after the current
// interval in a window that began completed intervals before it. Recent is the number in the
// last sharedHistoryTicks intervals.
func (*window) forecast(recent int64, completed int) int64 {
	left := max(windowTicks-1-completed, 0)
	return recent * int64(left) * forecastPercent / sharedHistoryTicks
}

// take counts an extra attempt if the bound allows it, and returns the number of its
// interval. Credit returns the share of the first attempts of the current interval, in stored
// units. It is called after the interval number was read, because advance follows the reset of
// the first attempts.
func (w *window) take(credit func() int64) (number uint32, ok bool) {
	if w == nil {
		return 0, true
	}
	for {
		current := w.current.Load()
		number, extra := split(current)
		if (extra+1)*unitsPerToken > w.room.Load()+credit() {
			return 0, false
		}
		if w.current.CompareAndSwap(current, current+1) {
			return number, true
		}
	}
}

// open reports whether take would succeed.
func (w *window) open(credit int64) bool {
	return w == nil || (w.extra()+1)*unitsPerToken <= w.room.Load()+credit
}

// cancel removes an extra attempt that was counted in an interval and not made. If that
// interval has ended, the attempt remains counted there: if the current interval counted one
// less instead, periods that begin with it would permit one too many.
func (w *window) cancel(number uint32) {
	if w == nil {
		return
	}
	for {
		current := w.current.Load()
		now, extra := split(current)
		if now != number || extra == 0 || w.current.CompareAndSwap(current, current-1) {
			return
		}
	}
}

// halfFree reports whether at least half of the window is unused after one more extra
// attempt.
func (w *window) halfFree(credit int64) bool {
	left := w.free.Load() + credit - (w.extra()+1)*unitsPerToken
	return 2*left >= w.bound.Load()+credit
}

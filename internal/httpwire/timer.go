package httpwire

import "time"

// lazyTimer is a timeout that is postponed far more often than it fires.
// Postponing it only stores the new deadline; when the underlying timer fires
// early, it is reset to the time that is left. It is guarded by its owner's lock.
type lazyTimer struct {
	timer *time.Timer
	// firesAt is when the timer fires next; zero if it is not running.
	firesAt time.Time
	// deadline is when the timeout expires; zero if none is set.
	deadline time.Time
}

// set makes the timeout expire after d. f must be the same function in each call.
func (t *lazyTimer) set(now time.Time, d time.Duration, f func()) {
	t.deadline = now.Add(d)
	switch {
	case t.timer == nil:
		t.timer = time.AfterFunc(d, f)
	case t.firesAt.IsZero() || t.deadline.Before(t.firesAt):
		t.timer.Reset(d)
	default:
		return
	}
	t.firesAt = t.deadline
}

// clear removes the timeout.
func (t *lazyTimer) clear() { t.deadline = time.Time{} }

// expired reports whether the timeout has expired. The timer's function must call
// it first; if the timeout was postponed, expired restarts the timer.
func (t *lazyTimer) expired(now time.Time) bool {
	t.firesAt = time.Time{}
	if t.deadline.IsZero() {
		return false
	}
	if left := t.deadline.Sub(now); left > 0 {
		t.firesAt = t.deadline
		t.timer.Reset(left)
		return false
	}
	t.deadline = time.Time{}
	return true
}

// stop removes the timeout and stops the timer.
func (t *lazyTimer) stop() {
	t.deadline = time.Time{}
	if t.timer != nil {
		t.timer.Stop()
	}
}

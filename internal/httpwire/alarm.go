package httpwire

import "time"

// alarm is a timeout that is moved far more often than it fires: moving it
// later only stores a time, and the timer looks again when it fires early.
// The owner's lock guards it.
type alarm struct {
	timer *time.Timer
	// fires is when the timer fires next; zero if it does not.
	fires time.Time
	// at is when the timeout passes; zero if none is set.
	at time.Time
}

// set makes the timeout pass after d. The function is the same in each call.
func (a *alarm) set(now time.Time, d time.Duration, f func()) {
	a.at = now.Add(d)
	switch {
	case a.timer == nil:
		a.timer = time.AfterFunc(d, f)
	case a.fires.IsZero() || a.at.Before(a.fires):
		a.timer.Reset(d)
	default:
		return
	}
	a.fires = a.at
}

// clear removes the timeout.
func (a *alarm) clear() { a.at = time.Time{} }

// due reports whether the timeout has passed; the timer's function calls it
// first. If it has not, the timer is set again.
func (a *alarm) due(now time.Time) bool {
	a.fires = time.Time{}
	if a.at.IsZero() {
		return false
	}
	if left := a.at.Sub(now); left > 0 {
		a.fires = a.at
		a.timer.Reset(left)
		return false
	}
	a.at = time.Time{}
	return true
}

// stop ends the timer for good.
func (a *alarm) stop() {
	a.at = time.Time{}
	if a.timer != nil {
		a.timer.Stop()
	}
}

package poison

import "time"

// maxAge bounds the age of an end that a host tells of: the longest quarantine and the
// time in which one end renews it.
const maxAge = 3 * maxQuarantine

// ParseTimes returns when a request was sent and when its upstream ended from their ages in
// microseconds, and false for ages that no host tells.
func ParseTimes(now time.Time, began, ended int64) (beganAt, endedAt time.Time, ok bool) {
	if ended < 0 || began < ended || began > maxAge.Microseconds() {
		return time.Time{}, time.Time{}, false
	}
	return now.Add(-time.Duration(began) * time.Microsecond), now.Add(-time.Duration(ended) * time.Microsecond), true
}

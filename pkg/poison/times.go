package poison

import "time"

// maxAge bounds the ages that are accepted from another host: the longest quarantine, and the
// time in which one more crash renews it.
const maxAge = 3 * maxQuarantine

// ParseTimes returns when a request was sent and when its upstream crashed, given their ages
// in microseconds. It returns false for ages out of range.
func ParseTimes(now time.Time, sentAge, endedAge int64) (sentAt, endedAt time.Time, ok bool) {
	if endedAge < 0 || sentAge < endedAge || sentAge > maxAge.Microseconds() {
		return time.Time{}, time.Time{}, false
	}
	return now.Add(-time.Duration(sentAge) * time.Microsecond), now.Add(-time.Duration(endedAge) * time.Microsecond), true
}

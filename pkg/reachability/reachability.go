// Package reachability infers from the outcome of exchanges whether an entry host has lost its
// links to all upstreams, as opposed to a failure of single upstreams.
//
// It reads no clock; callers pass the time.
package reachability

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LostAfter is the number of different upstreams that must fail without a success in between.
	LostAfter = 3
	// FailureRetention is how long a failure counts. A host with few requests would otherwise
	// add up failures that have nothing to do with each other.
	FailureRetention = 5 * time.Second
)

// Tracker decides whether the links to all upstreams are lost. It is safe for concurrent use.
// The zero value is ready to use.
type Tracker struct {
	// failing is the number of entries of failures, so that a success of a host without
	// failures takes no lock.
	failing atomic.Int32
	lost    atomic.Bool

	mu       sync.Mutex
	failures []failure // of different upstreams, since the last success; at most LostAfter
	lostAt   time.Time
}

type failure struct {
	upstream string
	at       time.Time
}

// Lost reports whether the links to all upstreams are lost.
func (t *Tracker) Lost() bool { return t.lost.Load() }

// Succeeded records that an upstream was reached. It reports whether the links were lost until
// then, and since when.
func (t *Tracker) Succeeded(now time.Time) (regained bool, lostFor time.Duration) {
	if t.failing.Load() == 0 {
		return false, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setFailures(nil)
	if !t.lost.Load() {
		return false, 0
	}
	t.lost.Store(false)
	return true, now.Sub(t.lostAt)
}

// Failed records that an upstream could not be reached or did not respond. Known is the number
// of upstreams that the host uses. It reports whether the links are considered lost from now on.
func (t *Tracker) Failed(now time.Time, upstream string, known int) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost.Load() {
		return false
	}
	failures := t.failures[:0]
	for _, f := range t.failures {
		if f.upstream != upstream && now.Sub(f.at) < FailureRetention {
			failures = append(failures, f)
		}
	}
	t.setFailures(append(failures, failure{upstream, now}))
	if len(t.failures) < min(LostAfter, max(known, 1)) {
		return false
	}
	t.lost.Store(true)
	t.lostAt = now
	return true
}

func (t *Tracker) setFailures(failures []failure) {
	t.failures = failures
	t.failing.Store(int32(len(failures)))
}

// Package reachability infers from the outcome of exchanges whether an entry host has lost its
// links to upstreams, as opposed to a failure of single upstreams.
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

	mu        sync.Mutex
	failures  failures // since the last success; at most LostAfter
	suspected bool
	suspicion Suspicion // the current or last one
	lostAt    time.Time
}

// Suspicion identifies one suspicion that all links are lost.
type Suspicion uint64

// Lost reports whether the links to all upstreams are lost.
func (t *Tracker) Lost() bool { return t.lost.Load() }

// Succeeded records that an upstream was reached. It reports whether the links were lost until
// then, and for how long.
func (t *Tracker) Succeeded(now time.Time) (regained bool, lostFor time.Duration) {
	if t.failing.Load() == 0 {
		return false, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setFailures(nil)
	t.suspected = false
	if !t.lost.Load() {
		return false, 0
	}
	t.lost.Store(false)
	return true, now.Sub(t.lostAt)
}

// Failed records that an upstream could not be reached or did not respond. Known is the number
// of upstreams that the host uses. It reports whether the loss of all links is suspected from
// now on. The caller then tries the upstreams that Failing returns, among others, and calls Confirm
// or Reject.
func (t *Tracker) Failed(now time.Time, upstream string, known int) (s Suspicion, suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspected {
		return 0, false
	}
	t.setFailures(append(t.failures.recent(now, upstream), failure{upstream, now}))
	if len(t.failures) < min(LostAfter, max(known, 1)) {
		return 0, false
	}
	t.suspected = true
	t.suspicion++
	return t.suspicion, true
}

// Failing returns the upstreams that failed since the last success.
func (t *Tracker) Failing() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, f := range t.failures {
		out = append(out, f.upstream)
	}
	return out
}

// Confirm records that a suspicion is confirmed. It returns false if an upstream was reached
// meanwhile.
func (t *Tracker) Confirm(now time.Time, s Suspicion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspected || t.suspicion != s {
		return false
	}
	t.lost.Store(true)
	t.lostAt = now
	return true
}

// Reject records that a suspicion is not followed up: the failures so far no longer count.
func (t *Tracker) Reject(s Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspected && t.suspicion == s && !t.lost.Load() {
		t.setFailures(nil)
		t.suspected = false
	}
}

func (t *Tracker) setFailures(f failures) {
	t.failures = f
	t.failing.Store(int32(len(f)))
}

// failures are failures of different upstreams, the latest of each.
type failures []failure

type failure struct {
	upstream string
	at       time.Time
}

// recent returns the failures that still count, without those of one upstream. It reuses f.
func (f failures) recent(now time.Time, without string) failures {
	kept := f[:0]
	for _, old := range f {
		if old.upstream != without && now.Sub(old.at) < FailureRetention {
			kept = append(kept, old)
		}
	}
	return kept
}

// Dials records which upstreams could not be connected to. It is safe for concurrent use. The zero
// value is ready to use.
type Dials struct {
	mu       sync.Mutex
	failures failures // at most maxDialFailures
}

// maxDialFailures bounds the failures that are kept; a few suffice to see that several fail.
const maxDialFailures = 8

// SeveralFailing is the number of upstreams that must fail until their failures are ascribed to
// this host's links: a single upstream may have crashed.
const SeveralFailing = 2

// Failed records a failure.
func (d *Dials) Failed(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.failures.recent(now, upstream)
	if len(kept) == maxDialFailures {
		kept = append(kept[:0], kept[1:]...)
	}
	d.failures = append(kept, failure{upstream, now})
}

// Succeeded records a success.
func (d *Dials) Succeeded(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = d.failures.recent(now, upstream)
}

// Failing reports whether the last connect to an upstream failed, and whether so many failed that
// links may be lost. Known is the number of upstreams that the host uses.
func (d *Dials) Failing(now time.Time, upstream string, known int) (this, several bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, f := range d.failures {
		if now.Sub(f.at) < FailureRetention {
			n++
			this = this || f.upstream == upstream
		}
	}
	return this, n >= min(SeveralFailing, max(known, 1))
}

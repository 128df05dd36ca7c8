// Package balancer defines how a policy chooses an upstream. Each policy has
// its own package below this one.
//
// The control goroutine calls Policy.Update when the set of upstreams changes
// and publishes the returned Picker. Traffic goroutines call Pick on the
// published Picker at the same time; a Picker's membership never changes, and
// Pick takes no lock. What moves between snapshots (requests outstanding,
// latency, reports) lives in atomics of Upstream, which outlive a snapshot.
package balancer

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoUpstream means no upstream is eligible: the group is empty, or all are excluded.
var ErrNoUpstream = errors.New("no eligible upstream")

// ErrNoSlot means every eligible upstream is believed to be full; the caller
// may keep the request in its local queue and pick again when Done was called.
var ErrNoSlot = errors.New("no free slot")

// Upstream is one server as seen by one entry host. Identity fields are
// immutable; the rest is updated by traffic goroutines.
type Upstream struct {
	// ID identifies the upstream.
	ID string
	// Address is "IP:port".
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests it serves at the same time.
	Slots int

	outstanding atomic.Int64
}

// Outstanding returns the requests that this entry host has in flight there.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Start records a request sent to u.
func (u *Upstream) Start() { u.outstanding.Add(1) }

// Done records the end of a request sent to u.
func (u *Upstream) Done() { u.outstanding.Add(-1) }

// PickInfo is what a policy may use for one choice.
type PickInfo struct {
	// Now is the time of the choice, from the caller's clock.
	Now time.Time
	// Random is a uniformly distributed number drawn for this choice.
	Random uint64
	// Exclude lists upstreams that this request already tried.
	Exclude []*Upstream
}

// Excludes reports whether u was already tried.
func (i PickInfo) Excludes(u *Upstream) bool {
	for _, e := range i.Exclude {
		if e == u {
			return true
		}
	}
	return false
}

// Result is a choice and its ground.
type Result struct {
	// Upstream is the chosen server.
	Upstream *Upstream
	// Reason is a short constant text for the decision event.
	Reason string
}

// Picker chooses an upstream. It is an immutable snapshot, safe for
// concurrent use, and must not block or perform I/O.
type Picker interface {
	// Pick returns a choice, ErrNoUpstream or ErrNoSlot.
	Pick(PickInfo) (Result, error)
}

// Policy builds pickers for one group. Its methods are called by the control
// goroutine only.
type Policy interface {
	// Update returns the picker for the given members. It must not keep the slice.
	Update([]*Upstream) Picker
}

// Builder creates policies by name.
type Builder interface {
	// Name is the name in configuration documents.
	Name() string
	// Build returns a policy for one group.
	Build() Policy
}

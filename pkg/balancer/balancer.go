// Package balancer defines how a policy chooses an upstream. Each policy has
// its own package below this one.
//
// The control goroutine calls Policy.Update when the set of upstreams changes
// and publishes the returned Picker. Traffic goroutines call Pick on the
// published Picker at the same time; a Picker's membership never changes, and
// Pick takes no lock. What moves between snapshots (requests outstanding,
// latency, reports) lives in atomics of Upstream, which outlive a snapshot.
//
// One request goes through these steps on a traffic goroutine:
//
//  1. Pick returns an upstream. On ErrNoSlot the request stays in the entry
//     host's local queue: the queue calls Pick again for its first request
//     after each Finish of the same group, and when Result.RetryAfter has
//     elapsed, whichever comes first. No picker wakes a request by itself.
//  2. Upstream.Begin records the send.
//  3. Finish records the end with its latency, outcome and load report.
//
// The package reads no clock, starts no goroutine and draws no randomness.
package balancer

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// ErrNoUpstream means no upstream is eligible: the group is empty, or all are excluded.
var ErrNoUpstream = errors.New("no eligible upstream")

// ErrNoSlot means every eligible upstream is believed to be full; the caller
// may keep the request in its local queue and pick again after a Finish or
// when Result.RetryAfter has elapsed.
var ErrNoSlot = errors.New("no free slot")

// PickInfo is what a policy may use for one choice.
type PickInfo struct {
	// Now is the time of the choice, from the caller's clock.
	Now time.Time
	// Random is a uniformly distributed number drawn for this choice.
	Random uint64
	// Exclude lists upstreams that this request already tried.
	Exclude []*Upstream
	// Waited is how long the request has been in the local queue.
	Waited time.Duration
	// Hedge is true for a second attempt beside one that is still running: it is
	// only worth its price at an upstream that is fast now.
	Hedge bool
	// ExpectedLatency is how long upstreams usually take for such a request; 0 if unknown.
	ExpectedLatency time.Duration
	// TargetLeft is what is left of the target latency; negative once it has passed.
	TargetLeft time.Duration
	// DeadlineLeft is what is left of the deadline.
	DeadlineLeft time.Duration
	// FinalAttempt states that the request could not be sent again if it were turned away.
	FinalAttempt bool
}

// Excludes reports whether u must not be chosen: it was already tried, rests, or has named a
// limit and it is not this host's turn. All policies ask it of each upstream that they would
// choose, and of each that they would have asked for its load. A second send beside one that
// runs takes no turn: an upstream in need has work enough of its first.
func (i PickInfo) Excludes(u *Upstream) bool {
	for _, e := range i.Exclude {
		if e == u {
			return true
		}
	}
	if u.Limit.Limited() && (i.Hedge || u.Limit.Delay(i.Now) > 0) {
		return true
	}
	return !u.Backoff.Open(i.Now, i.FinalAttempt)
}

// Result is a choice and its ground.
type Result struct {
	// Upstream is the chosen server; nil when Pick returns an error.
	Upstream *Upstream
	// Reason is a short constant text for the decision event.
	Reason string
	// RetryAfter accompanies ErrNoSlot: pick again after this time even if no
	// request finished.
	RetryAfter time.Duration
	// OverdueAfter is the time from the send after which an answer is later than
	// this policy expects; a caller that hedges repeatable requests may send
	// another attempt then, and a queue may drop a request that has less time
	// left. 0 means that the policy has no opinion.
	OverdueAfter time.Duration
}

// Picker chooses an upstream. Its membership is an immutable snapshot. It is
// safe for concurrent use, and must not block, lock or perform I/O.
type Picker interface {
	// Pick returns a choice, ErrNoUpstream or ErrNoSlot. Traffic goroutines
	// call it once for each send. It must not keep PickInfo.Exclude.
	Pick(PickInfo) (Result, error)
}

// Observer is a Picker that learns more from feedback than Upstream records.
type Observer interface {
	// Observe is called by traffic goroutines, through Finish and FinishProbe,
	// after the record of u was updated. It must not block.
	Observe(u *Upstream, f Feedback)
}

// Prober is a Picker that asks for probes. It must work when none is sent.
type Prober interface {
	// Probe names an upstream to be probed now, or nil. The entry host calls it
	// after each Pick; it sends the probe only if the measuring budget allows,
	// and reports the answer with FinishProbe.
	Probe(now time.Time, random uint64) *Upstream
}

// LoadQuerier is a Picker that chooses on load reports which are asked for right
// before the choice.
type LoadQuerier interface {
	// QueryTargets returns the upstreams to ask for their load before the next Pick, or
	// none if enough is known. A traffic goroutine calls it before each Pick,
	// again after the answers have come, with round counted from 0. It must not
	// keep info.Exclude.
	QueryTargets(info PickInfo, round int) []*Upstream
}

// Policy builds pickers for one group. Its methods are called by the control
// goroutine only.
type Policy interface {
	// Update returns the picker for the given members. It must not keep the slice.
	Update([]*Upstream) Picker
}

// Options are what a policy is told of the group and the entry host it works for.
type Options struct {
	// Self is the entry host's number among the live entry hosts, from 0.
	Self int
	// EntryHosts is the number of live entry hosts; 0 counts as 1.
	EntryHosts int
	// Host names the entry host among all others, for preferences that must not
	// move when its number does; empty if it has no name.
	Host string
	// FailureDomain is where the entry host runs.
	FailureDomain string
	// Schedule says when this host may send to cold upstreams; nil is any time.
	Schedule *timeslot.Schedule
	// Limits are those that upstreams name; nil is none.
	Limits *ratelimit.Registry
	// SlowStart is the time over which a new upstream's share grows to full; 0 is off.
	SlowStart time.Duration
}

// Builder creates policies by name.
type Builder interface {
	// Name is the name in configuration documents.
	Name() string
	// Build returns a policy for one group. The control goroutine calls it when
	// a group appears or its policy's name changes.
	Build(Options) Policy
}

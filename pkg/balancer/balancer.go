// Package balancer defines the interfaces of load-balancing policies and the
// per-upstream state that they share. Each policy has its own package below
// this one.
//
// The control goroutine calls Policy.Update when the set of upstreams changes
// and publishes the returned Picker. The goroutines that serve requests call Pick
// on it concurrently; a Picker's membership never changes, and Pick takes no lock.
// State that changes between snapshots (outstanding requests, latency, load reports)
// is kept in atomic fields of Upstream, which outlives a snapshot.
//
// One request goes through these steps on the goroutine that serves it:
//
//  1. Pick returns an upstream. On ErrNoSlot the request stays in the entry
//     host's local queue: the queue calls Pick again for its first request
//     after each Finish in the same group or when Result.RetryAfter has
//     elapsed, whichever comes first. A picker never wakes a queued request.
//  2. Upstream.Begin records the start of the attempt.
//  3. Finish records its end with the latency, outcome and load report.
//
// The package reads no clock, starts no goroutine and generates no random
// numbers; callers pass the time and a random number in.
package balancer

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/availability"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// ErrNoUpstream means that no upstream is eligible: the group is empty, or all
// members are excluded.
var ErrNoUpstream = errors.New("no eligible upstream")

// ErrNoSlot means that every eligible upstream is estimated to be full; the
// caller may keep the request in its local queue and pick again after a Finish
// or when Result.RetryAfter has elapsed.
var ErrNoSlot = errors.New("no free slot")

// PickInfo is the input of one choice.
type PickInfo struct {
	// Now is the current time, from the caller's clock.
	Now time.Time
	// Random is a uniformly distributed random number for this choice.
	Random uint64
	// Exclude lists the upstreams that this request has already tried.
	Exclude []*Upstream
	// Waited is how long the request has been in the local queue for this attempt.
	Waited time.Duration
	// WaitedBefore is how long it has been there for earlier attempts.
	WaitedBefore time.Duration
	// Hedge is true for an attempt that is sent while an earlier one is still
	// running. It pays off only at an upstream that is fast at the moment.
	Hedge bool
	// ExpectedLatency is the typical latency of such a request; 0 if unknown.
	ExpectedLatency time.Duration
	// CrossingCost is what it costs to send this request to another failure domain, as a share
	// of ExpectedLatency: 0 to 1, more for requests that move many bytes; 0 if unknown.
	CrossingCost float64
	// TargetLeft is the remaining part of the target latency; negative once it has passed.
	TargetLeft time.Duration
	// DeadlineLeft is the time until the deadline.
	DeadlineLeft time.Duration
	// FinalAttempt is true if the request can't be retried once it is rejected.
	FinalAttempt bool
}

// Excludes reports whether u must not be chosen: it was already tried, is backing off, or has
// announced a rate limit and this host has no time slot at present. Every policy calls it for each
// upstream that it would choose or query for its load. A hedge gets no time slot: an upstream
// that limits its rate is busy enough with first attempts.
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

// Result is the chosen upstream and the reason for the choice.
type Result struct {
	// Upstream is the chosen upstream; nil when Pick returns an error.
	Upstream *Upstream
	// Reason is a short constant string for the decision event.
	Reason string
	// RetryAfter is set with ErrNoSlot: pick again after this time even if no
	// request has finished.
	RetryAfter time.Duration
	// OverdueAfter is the time from the start of the attempt after which the
	// response is later than this policy expects. A caller that hedges repeatable
	// requests may then send another attempt, and a queue may drop a request that
	// has less time left. 0 means that the policy gives no estimate.
	OverdueAfter time.Duration
}

// Picker chooses an upstream. Its membership is an immutable snapshot. It is
// safe for concurrent use, and must not block, lock or perform I/O.
type Picker interface {
	// Pick returns a choice, ErrNoUpstream or ErrNoSlot. The goroutines that
	// serve requests call it once for each attempt. It must not retain PickInfo.Exclude.
	Pick(PickInfo) (Result, error)
}

// Observer is a Picker that uses feedback beyond what Upstream records.
type Observer interface {
	// Observe is called through Finish and FinishProbe, on the goroutine that calls
	// them, after the state of u was updated. It must not block.
	Observe(u *Upstream, f Feedback)
}

// Prober is a Picker that requests probes. It must also work if none is sent.
type Prober interface {
	// Probe returns an upstream to probe now, or nil. The entry host calls it
	// after each Pick; it sends the probe only if the probe budget allows it,
	// and reports the response with FinishProbe.
	Probe(now time.Time, random uint64) *Upstream
}

// LoadQuerier is a Picker whose choice depends on load reports that are queried
// right before it.
type LoadQuerier interface {
	// QueryTargets returns the upstreams to query for their load before the next
	// Pick, or none if enough is known. The goroutine that serves the request calls
	// it before each Pick and again after the responses have arrived, with round
	// counted from 0. It must not retain info.Exclude.
	QueryTargets(info PickInfo, round int) []*Upstream
}

// Policy builds pickers for one group. Its methods are called by the control
// goroutine only.
type Policy interface {
	// Update returns the picker for the given members. It must not retain the slice.
	Update([]*Upstream) Picker
}

// Options describe the group and the entry host that a policy works for.
type Options struct {
	// Self is the entry host's index among the live entry hosts, from 0.
	Self int
	// EntryHosts is the number of live entry hosts; 0 counts as 1.
	EntryHosts int
	// Host is the unique name of the entry host, for preferences that must not
	// change when its index does; empty if it has no name.
	Host string
	// FailureDomain is the entry host's failure domain.
	FailureDomain string
	// Schedule is the schedule of the time slots in which this host may send to cold
	// upstreams; nil means at any time.
	Schedule *timeslot.Schedule
	// Availability holds the estimates of the service's free slots by failure domain, which
	// are shared with the reports of other hosts; nil means that the policy keeps its own.
	Availability *availability.Estimates
	// Limits holds the rate limits that upstreams have announced; nil means none.
	Limits *ratelimit.Registry
	// SlowStart is the time over which a new upstream's share grows to the full share;
	// 0 turns it off.
	SlowStart time.Duration
}

// Builder creates policies by name.
type Builder interface {
	// Name returns the name in configuration documents.
	Name() string
	// Build returns a policy for one group. The control goroutine calls it when
	// a group is added or its policy name changes.
	Build(Options) Policy
}

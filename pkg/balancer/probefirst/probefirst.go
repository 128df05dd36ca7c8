// Package probefirst queries a few upstreams for their load right before each
// choice, and chooses the one that is expected to finish the request first.
//
// It is for upstreams whose speed changes many times per second, behind entry
// hosts that each send too few requests to know it from the responses. Upstreams
// in the local failure domain are queried first; others only if none of those is
// acceptable, because their traffic crosses failure domains.
package probefirst

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/availability"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// Name is the name in configuration documents.
const Name = "probe-first"

// Constants of the choice; docs/design/05-choosing.md lists the measurements behind them.
const (
	// ReportTTL is the age up to which a report is used. The speed of upstreams changes
	// about every 150 ms.
	ReportTTL = 40 * time.Millisecond
	// QueriesPerRound is the number of upstreams queried in one round.
	QueriesPerRound = 1
	// MaxRounds limits the query rounds before one choice.
	MaxRounds = 6
	// AcceptableCost is the cost up to which a candidate is chosen without waiting for a
	// better one.
	AcceptableCost = 1.8
	// IdleCost is the cost up to which an upstream in any failure domain counts as idle and
	// running at normal speed.
	IdleCost = 1.25
	// RemoteDomainCost is added for an upstream in another failure domain if the crossing cost
	// of the request is unknown: the round trip is longer and the traffic is charged.
	RemoteDomainCost = 0.15
	// FailureCooldown is the time after a failure in which an upstream is queried only if no
	// other is left: each host then queries an upstream that is gone once a second.
	FailureCooldown = time.Second
	// remoteFirstRound is the round from which on other failure domains are queried first if
	// no upstream has responded yet.
	remoteFirstRound = 2
	// FailureRateCost is the weight of the share of recent attempts that failed.
	FailureRateCost = 6.0
)

// Builder creates policies.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return Name }

// Build implements balancer.Builder.
func (Builder) Build(o balancer.Options) balancer.Policy {
	mine := o.Schedule
	if mine == nil {
		mine = timeslot.New(o.Host)
	}
	free := o.Availability
	if free == nil {
		free = availability.New(o.FailureDomain)
	}
	return &policy{host: o.Host, shared: shared{
		failureDomain: o.FailureDomain,
		contention:    new(contention), idle: new(idleShare), free: free, turns: mine, limits: o.Limits,
	}}
}

type policy struct {
	host   string
	shared shared
}

// shared is the state that successive pickers of a policy share.
type shared struct {
	failureDomain string
	contention    *contention
	idle          *idleShare
	free          *availability.Estimates
	turns         *timeslot.Schedule
	limits        *ratelimit.Registry
}

// Update implements balancer.Policy.
func (p *policy) Update(members []*balancer.Upstream) balancer.Picker {
	next := &picker{shared: p.shared}
	for _, u := range members {
		if u.FailureDomain == p.shared.failureDomain {
			next.local = append(next.local, u)
		} else {
			next.remote = append(next.remote, u)
		}
	}
	next.home, next.others = splitHome(p.host, next.local)
	next.domains, next.byDomain = groupByDomain(next.remote)
	return next
}

// picker is an immutable snapshot of the membership.
type picker struct {
	shared
	local, remote []*balancer.Upstream
	home, others  []*balancer.Upstream // local, split into the home set and the others
	domains       []string             // the failure domains of remote
	byDomain      map[string][]*balancer.Upstream
}

// eligible reports whether a request may go to u now.
func (p *picker) eligible(u *balancer.Upstream, info balancer.PickInfo) bool {
	return !info.Excludes(u) && u.Cold.Open(info.Now, p.turns)
}

// Observe implements balancer.Observer.
func (p *picker) Observe(u *balancer.Upstream, f balancer.Feedback) {
	p.contention.observe(f)
	if f.IsFailedProbe() && !p.isLocal(u) {
		// A domain that is gone but still registered would otherwise keep the estimate from
		// before, and be queried first by each request. The local domain has the cooldown.
		p.free.Observe(u.FailureDomain, f.Now, false)
		return
	}
	if l := u.Load(); f.IsProbeResponse() && l != nil {
		s := p.contention.estimate()
		c := cost(u, l, s, f.Now)
		p.free.Observe(u.FailureDomain, f.Now, !s.full(l) && c <= p.targetCost())
		p.idle.add(c <= IdleCost)
	}
}

// Pick implements balancer.Picker.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	s := p.contention.estimate()
	if c := p.best(info, s); c.upstream != nil {
		duration := c.cost - p.surcharge(c.upstream, info)
		if c.full || info.Hedge && c.cost > AcceptableCost || duration > AcceptableCost && worthWaiting(info, duration) {
			return balancer.Result{RetryAfter: ReportTTL}, p.noSlot(info)
		}
		reason := "fresh-report"
		if duration > AcceptableCost {
			reason = "best-of-slow"
		}
		if !c.upstream.Cold.Take(info.Now, p.turns) {
			return balancer.Result{RetryAfter: ReportTTL}, balancer.ErrNoSlot
		}
		p.contention.recordChoice(c.upstream.Load())
		return balancer.Result{Upstream: c.upstream, Reason: reason}, nil
	}
	if info.Hedge {
		return balancer.Result{}, balancer.ErrNoSlot
	}
	if u := p.chooseWithoutReport(info); u != nil && u.Cold.Take(info.Now, p.turns) {
		return balancer.Result{Upstream: u, Reason: "no-report"}, nil
	}
	if p.anyLeft(info) {
		return balancer.Result{RetryAfter: ReportTTL}, balancer.ErrNoSlot
	}
	return balancer.Result{}, balancer.ErrNoUpstream
}

// anyLeft reports whether any member is not excluded. If none could be chosen, such a member
// is cold, and this host waits for its time slot there.
func (p *picker) anyLeft(info balancer.PickInfo) bool {
	return balancer.FirstEligible(p.local, 0, info) != nil || balancer.FirstEligible(p.remote, 0, info) != nil
}

// worthWaiting reports whether a request should wait for a faster upstream instead of going
// to one of the given cost. It waits for at most the extra time that the slow upstream would
// take, so that the delay is at most twice that of the best choice.
//
// The speed of an upstream at the start of a request applies to the whole request, and slow
// upstreams are fast again before such a request ends: a request that is sent to one
// immediately holds a slot five times as long as one that is sent later. Without the wait,
// 60% of the slots in use were held by requests to slow upstreams in a burst of 2.2 times the
// usual traffic. In runs of six days of high load, 53,470 of 60,542 requests were answered in
// time with the wait, and 49,324 without it.
func worthWaiting(info balancer.PickInfo, cost float64) bool {
	takes := time.Duration(cost * float64(info.ExpectedLatency))
	switch {
	case takes <= info.TargetLeft:
		return false
	case takes > info.DeadlineLeft:
		return true
	}
	return info.Waited < takes-info.ExpectedLatency
}

// candidate is an upstream with a fresh report.
type candidate struct {
	upstream *balancer.Upstream // nil is none
	cost     float64
	full     bool
	timeSlot bool // acceptable, and this host has a time slot there that is lost if it is not used
}

// better reports whether c is preferred to o. Candidates that are not full come first.
func (c candidate) better(o candidate) bool {
	switch {
	case o.upstream == nil:
		return true
	case c.full != o.full:
		return o.full
	case c.timeSlot != o.timeSlot:
		return c.timeSlot
	}
	return c.cost < o.cost
}

// best returns the best member with a fresh report.
func (p *picker) best(info balancer.PickInfo, s slowdown) candidate {
	local := p.bestOf(p.local, info, s, 0)
	if p.staysLocal(info) {
		return local
	}
	remote := p.bestOf(p.remote, info, s, crossingCost(info))
	if remote.upstream != nil && remote.better(local) {
		return remote
	}
	return local
}

func (p *picker) bestOf(members []*balancer.Upstream, info balancer.PickInfo, s slowdown, extra float64) candidate {
	var best candidate
	n := uint64(len(members))
	for i := range n {
		u := members[(info.Random+i)%n]
		l := u.Load()
		if l == nil || info.Now.Sub(l.At) > ReportTTL || !p.eligible(u, info) {
			continue
		}
		c := candidate{upstream: u, cost: cost(u, l, s, info.Now) + extra, full: s.full(l)}
		c.timeSlot = c.cost <= AcceptableCost && u.HasTimeSlot(info.Now)
		if c.better(best) {
			best = c
		}
	}
	return best
}

// cost estimates the duration of the next request at u, relative to that at an idle upstream
// of normal speed.
func cost(u *balancer.Upstream, l *balancer.Load, s slowdown, now time.Time) float64 {
	slots := float64(max(l.Slots, 1))
	busy := float64(l.InFlight + 1)
	work := max(l.Slowdown, 1)
	if busy/slots > highLoadMin {
		work *= s.factor
	}
	if busy > slots {
		work *= 1 + (busy-slots)/slots
	}
	return work * (1 + FailureRateCost*u.FailureRate(now))
}

// chooseWithoutReport returns the upstream with the fewest requests in flight from this
// host, in the local failure domain if possible. Upstreams in the cooldown after a failure
// come last.
func (p *picker) chooseWithoutReport(info balancer.PickInfo) *balancer.Upstream {
	lists := [...][]*balancer.Upstream{p.local, p.remote}
	if p.staysLocal(info) {
		lists[1] = nil
	}
	for _, cooling := range []bool{false, true} {
		for _, members := range lists {
			if u := p.fewestOutstanding(members, info, cooling); u != nil {
				return u
			}
		}
	}
	return nil
}

func (p *picker) fewestOutstanding(members []*balancer.Upstream, info balancer.PickInfo, cooling bool) *balancer.Upstream {
	var best *balancer.Upstream
	lowest := 0.0
	n := uint64(len(members))
	for i := range n {
		u := members[(info.Random+i)%n]
		if inCooldown(u, info.Now) != cooling || !p.eligible(u, info) {
			continue
		}
		c := float64(u.Outstanding()) + FailureRateCost*u.FailureRate(info.Now)
		if best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// Package probepool keeps a small pool of recent load reports and chooses from
// it: among upstreams with few requests in flight (cold) the one with the lowest
// latency, otherwise (all hot) the one with the fewest requests in flight.
// Reports come from probes and from responses. It is a baseline for comparisons.
package probepool

import (
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Name is the name in configuration documents.
const Name = "probe-pool"

const (
	// PoolSize is the maximum number of reports in the pool.
	PoolSize = 16
	// MaxAge is the age above which a report is no longer used.
	MaxAge = time.Second
	// MaxUses is how often one report may be used for a choice.
	MaxUses = 2
	// HotQuantile is the quantile of requests in flight up to which an upstream is cold.
	HotQuantile = 0.84
)

// Builder creates policies.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return Name }

// Build implements balancer.Builder.
func (Builder) Build(balancer.Options) balancer.Policy { return &policy{} }

// entry is one report in the pool.
type entry struct {
	upstream *balancer.Upstream
	inFlight atomic.Int64
	latency  time.Duration
	sampled  time.Time
	uses     atomic.Int64
}

// policy holds the pool, which is kept across snapshots.
type policy struct {
	pool [PoolSize]atomic.Pointer[entry]
	next atomic.Uint64
}

// Update implements balancer.Policy.
func (p *policy) Update(members []*balancer.Upstream) balancer.Picker {
	pk := &picker{policy: p, members: append([]*balancer.Upstream(nil), members...)}
	pk.known = make(map[*balancer.Upstream]bool, len(members))
	for _, u := range members {
		pk.known[u] = true
	}
	return pk
}

type picker struct {
	policy  *policy
	members []*balancer.Upstream
	known   map[*balancer.Upstream]bool
}

// Observe implements balancer.Observer.
func (p *picker) Observe(u *balancer.Upstream, f balancer.Feedback) {
	if !f.Report.Valid {
		return
	}
	latency, _ := u.Latency(f.Now)
	e := &entry{
		upstream: u,
		latency:  latency,
		sampled:  f.Now.Add(-f.Report.Age),
	}
	e.inFlight.Store(int64(f.Report.InFlight))
	p.policy.pool[p.policy.next.Add(1)%PoolSize].Store(e)
}

// Probe implements balancer.Prober by returning a random member.
func (p *picker) Probe(now time.Time, random uint64) *balancer.Upstream {
	return balancer.FirstEligible(p.members, random, balancer.PickInfo{Now: now})
}

// Pick applies the hot-cold rule, or chooses a random member if the pool has fewer
// than two usable reports.
func (p *picker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	var usable [PoolSize]*entry
	n := p.collect(&usable, info)
	if n < 2 {
		return p.fallback(info)
	}
	best := choose(usable[:n])
	best.uses.Add(1)
	best.inFlight.Add(1)
	return balancer.Result{Upstream: best.upstream, Reason: Name}, nil
}

func (p *picker) fallback(info balancer.PickInfo) (balancer.Result, error) {
	u := balancer.FirstEligible(p.members, info.Random, info)
	if u == nil {
		return balancer.Result{}, balancer.ErrNoUpstream
	}
	return balancer.Result{Upstream: u, Reason: "probe-pool-empty"}, nil
}

func (p *picker) collect(usable *[PoolSize]*entry, info balancer.PickInfo) int {
	n := 0
	for i := range p.policy.pool {
		e := p.policy.pool[i].Load()
		if e == nil || e.uses.Load() >= MaxUses || info.Now.Sub(e.sampled) > MaxAge {
			continue
		}
		if !p.known[e.upstream] || info.Excludes(e.upstream) {
			continue
		}
		usable[n] = e
		n++
	}
	return n
}

// choose returns the cold entry with the lowest latency, or the hot entry with
// the fewest requests in flight.
func choose(pool []*entry) *entry {
	limit := hotLimit(pool)
	var cold, hot *entry
	for _, e := range pool {
		if e.inFlight.Load() <= limit && (cold == nil || e.latency < cold.latency) {
			cold = e
		}
		if hot == nil || e.inFlight.Load() < hot.inFlight.Load() {
			hot = e
		}
	}
	if cold != nil {
		return cold
	}
	return hot
}

// hotLimit returns the largest number of requests in flight that counts as cold.
func hotLimit(pool []*entry) int64 {
	var counts [PoolSize]int64
	for i, e := range pool {
		v := e.inFlight.Load()
		j := i
		for ; j > 0 && counts[j-1] > v; j-- {
			counts[j] = counts[j-1]
		}
		counts[j] = v
	}
	return counts[int(HotQuantile*float64(len(pool)-1))]
}

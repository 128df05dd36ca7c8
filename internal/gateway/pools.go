package gateway

import (
	"strconv"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/probefirst"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// pool is what outlives snapshots of one registered service: the policy and
// the records of its upstreams.
type pool struct {
	policyName string
	policy     balancer.Policy
	picker     balancer.Picker
	members    []*balancer.Upstream // of picker
	records    map[string]*balancer.Upstream
	// entries are the revisions of the entries that records reflect, by id.
	entries map[string]uint64
	// coldRate is what an upstream bears while it is cold, in requests a second.
	coldRate float64
	// lifecycle is the version of the service's views that picker reflects.
	lifecycle uint64
}

// pools implements routing.Groups for registered services. It belongs to the
// control goroutine.
type pools struct {
	options   balancer.Options
	lifecycle *lifecycle.Snapshot
	services  map[string]*pool
	// rests are by restKey.
	rests  *backoff.Registry
	limits *ratelimit.Registry
	// grown is true when there are records of addresses that had none.
	grown bool
}

// takeGrown reports whether there are new addresses since the last call.
func (p *pools) takeGrown() bool {
	grown := p.grown
	p.grown = false
	return grown
}

// restKey names one start of an upstream: the next one did not ask for anything.
func restKey(id string, start uint64) string { return id + "/" + strconv.FormatUint(start, 10) }

func newPools(host, failureDomain string) *pools {
	mine := timeslot.New(host)
	limits := ratelimit.NewRegistry(mine)
	return &pools{
		options:   balancer.Options{Host: host, FailureDomain: failureDomain, Schedule: mine, Limits: limits},
		lifecycle: new(lifecycle.Snapshot),
		services:  make(map[string]*pool),
		rests:     backoff.NewRegistry(),
		limits:    limits,
	}
}

// pool returns the pool of a service and makes it if it is new.
func (p *pools) pool(service string) *pool {
	pl := p.services[service]
	if pl == nil {
		pl = &pool{records: make(map[string]*balancer.Upstream), entries: make(map[string]uint64)}
		pl.setPolicy(probefirst.Name, p.options)
		p.services[service] = pl
	}
	return pl
}

// setPolicy builds a policy by its name; one that this version does not know
// falls back to the default.
func (pl *pool) setPolicy(name string, o balancer.Options) {
	b, err := registry.Lookup(name)
	if err != nil {
		b = probefirst.Builder{}
	}
	pl.policyName = name
	pl.policy = b.Build(o)
	pl.members = nil
	pl.picker = pl.policy.Update(nil)
	pl.lifecycle = 0
}

// Group implements routing.Groups.
func (p *pools) Group(_ *config.Service, g *config.Group) *routing.Group {
	pl := p.pool(g.Registered)
	if pl.policyName != g.Policy {
		pl.setPolicy(g.Policy, p.options)
		pl.rebuild(g.Registered, p.lifecycle)
	}
	pl.bear(g.ColdRate)
	return &routing.Group{Config: g, Picker: pl.picker, Upstreams: pl.members, Lifecycle: p.lifecycle.Version}
}

// refresh brings the pools in line with the lifecycle. It returns the services
// whose pickers changed, and calls forget for the addresses of upstreams that
// are gone.
func (p *pools) refresh(set *discovery.Set, forget func(address string)) []string {
	var changed []string
	for _, service := range p.lifecycle.Services() {
		p.pool(service)
	}
	for service, pl := range p.services {
		if pl.lifecycle == p.lifecycle.ServiceVersion(service) {
			continue
		}
		p.refreshPool(pl, set.Upstreams(service), forget)
		pl.rebuild(service, p.lifecycle)
		changed = append(changed, service)
	}
	return changed
}

// refreshPool makes records for new upstreams, and for new starts of known ones, and
// forgets those that are gone: cost, failures, load and connections are of one start.
func (p *pools) refreshPool(pl *pool, list []discovery.Upstream, forget func(string)) {
	now := clock.Now()
	known := make(map[string]*balancer.Upstream, len(list))
	entries := make(map[string]uint64, len(list))
	for _, entry := range list {
		u := pl.records[entry.ID]
		if u == nil || u.Activation != entry.Start || u.Address != upstream.InstanceTarget(entry.ID, entry.Address) {
			u = newRecord(entry)
			p.grown = true
			u.Cold.SetRate(u.ID, pl.coldRate)
			u.Backoff.Extend(p.rests.Until(restKey(entry.ID, entry.Start)))
			u.Limit = p.limits.Acquire(entry.ID, entry.Born)
		}
		if pl.entries[entry.ID] != entry.Revision {
			u.Cold.ExtendCold(now, entry.ColdFor)
		}
		known[entry.ID], entries[entry.ID] = u, entry.Revision
	}
	for id, u := range pl.records {
		if known[id] != u {
			forget(u.Address)
			p.limits.Release(now, u.Limit)
		}
	}
	pl.records, pl.entries = known, entries
}

// bear takes in what an upstream bears while it is cold.
func (pl *pool) bear(coldRate float64) {
	if coldRate == pl.coldRate {
		return
	}
	pl.coldRate = coldRate
	for _, u := range pl.records {
		u.Cold.SetRate(u.ID, coldRate)
	}
}

// newRecord makes the record of an upstream. How slow it is while it is cold it says
// itself, in the slowdown of its load reports.
func newRecord(entry discovery.Upstream) *balancer.Upstream {
	return &balancer.Upstream{
		ID:            entry.ID,
		Activation:    entry.Start,
		Address:       upstream.InstanceTarget(entry.ID, entry.Address),
		FailureDomain: entry.FailureDomain,
		Slots:         entry.Slots,
	}
}

// rebuild makes the picker anew of those that take requests; those that can't
// be reached only if there are no others.
func (pl *pool) rebuild(service string, s *lifecycle.Snapshot) {
	var reachable, unreachable []*balancer.Upstream
	for id, u := range pl.records {
		view, _ := s.View(lifecycle.UpstreamKey{Service: service, Upstream: id})
		switch {
		case !view.AcceptsRequests:
		case view.Unreachable:
			unreachable = append(unreachable, u)
		default:
			reachable = append(reachable, u)
		}
	}
	if len(reachable) == 0 {
		reachable = unreachable
	}
	pl.members = reachable
	pl.picker = pl.policy.Update(reachable)
	pl.lifecycle = s.ServiceVersion(service)
}

package gateway

import (
	"strconv"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/availability"
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

// pool is the state of one registered service that outlives snapshots: the policy and
// the records of its upstreams.
type pool struct {
	policyName string
	policy     balancer.Policy
	picker     balancer.Picker
	members    []*balancer.Upstream // of picker
	records    map[string]*balancer.Upstream
	// entries are the revisions of the entries that records reflect, by id.
	entries map[string]uint64
	// coldRate is the rate that an upstream tolerates while it is cold, in requests per second.
	coldRate float64
	// lifecycle is the version of the service's views that picker reflects.
	lifecycle uint64
	// estimates are the estimates of free slots by failure domain; they outlive policy.
	estimates *availability.Estimates
	// domains are the failure domains of members, sorted.
	domains []string
	// queried is true if the upstreams are queried for their load.
	queried bool
	// exported are the failure domains whose estimates are exported as metrics.
	exported []string
}

// pools implements routing.Groups for registered services. It is owned by the
// control goroutine.
type pools struct {
	options   balancer.Options
	lifecycle *lifecycle.Snapshot
	services  map[string]*pool
	// backoffs are keyed by backoffKey.
	backoffs *backoff.Registry
	limits   *ratelimit.Registry
	// estimates holds the estimates of all services.
	estimates *serviceEstimates
	// targets are the target strings of all records.
	targets *upstreamTargets
	// nextReport is the service at which the next message with reports starts.
	nextReport string
	// hasNewAddresses is true when addresses that had no record have one.
	hasNewAddresses bool
}

// takeNewAddresses reports whether there are new addresses since the last call.
func (p *pools) takeNewAddresses() bool {
	added := p.hasNewAddresses
	p.hasNewAddresses = false
	return added
}

// backoffKey identifies one start of an upstream; a backoff does not apply to the next start.
func backoffKey(id string, start uint64) string { return id + "/" + strconv.FormatUint(start, 10) }

func newPools(host, failureDomain string) *pools {
	schedule := timeslot.New(host)
	limits := ratelimit.NewRegistry(schedule)
	return &pools{
		options:   balancer.Options{Host: host, FailureDomain: failureDomain, Schedule: schedule, Limits: limits},
		lifecycle: new(lifecycle.Snapshot),
		services:  make(map[string]*pool),
		backoffs:  backoff.NewRegistry(),
		limits:    limits,
		estimates: newServiceEstimates(failureDomain),
		targets:   new(upstreamTargets),
	}
}

// pool returns the pool of a service and creates it if there is none.
func (p *pools) pool(service string) *pool {
	pl := p.services[service]
	if pl == nil {
		pl = &pool{records: make(map[string]*balancer.Upstream), entries: make(map[string]uint64), estimates: p.estimates.of(service)}
		pl.setPolicy(probefirst.Name, p.options)
		p.services[service] = pl
	}
	return pl
}

// setPolicy builds a policy by its name. A name that this version does not know falls
// back to the default.
func (pl *pool) setPolicy(name string, o balancer.Options) {
	b, err := registry.Lookup(name)
	if err != nil {
		b = probefirst.Builder{}
	}
	o.Availability = pl.estimates
	pl.policyName = name
	pl.policy = b.Build(o)
	pl.members, pl.domains = nil, nil
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
	pl.setColdRate(g.ColdRate)
	pl.queried = g.HealthPath != ""
	return &routing.Group{Config: g, Picker: pl.picker, Upstreams: pl.members, Lifecycle: p.lifecycle.Version}
}

// refresh updates the pools to the current lifecycle. It returns the services whose
// pickers changed, and calls forget with the addresses of upstreams that are gone.
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

// refreshPool creates records for new upstreams and for new starts of known ones, and
// removes those of upstreams that are gone. A record holds the cost, failures, load and
// connections of one start.
func (p *pools) refreshPool(pl *pool, list []discovery.Upstream, forget func(string)) {
	now := clock.Now()
	known := make(map[string]*balancer.Upstream, len(list))
	entries := make(map[string]uint64, len(list))
	for _, entry := range list {
		u := pl.records[entry.ID]
		if u == nil || u.Activation != entry.Start || u.Address != upstream.InstanceTarget(entry.ID, entry.Address) {
			u = newRecord(entry)
			p.targets.add(u.Address)
			p.hasNewAddresses = true
			u.Cold.SetRate(u.ID, pl.coldRate)
			u.Backoff.Extend(p.backoffs.Until(backoffKey(entry.ID, entry.Start)))
			u.Limit = p.limits.Acquire(entry.ID, entry.Born)
		}
		if pl.entries[entry.ID] != entry.Revision {
			u.Cold.ExtendCold(now, entry.ColdFor)
		}
		known[entry.ID], entries[entry.ID] = u, entry.Revision
	}
	for id, u := range pl.records {
		if known[id] != u {
			if next := known[id]; next == nil || next.Address != u.Address {
				p.targets.remove(u.Address)
			}
			forget(u.Address)
			p.limits.Release(now, u.Limit)
		}
	}
	pl.records, pl.entries = known, entries
}

// setColdRate sets the rate that an upstream tolerates while it is cold.
func (pl *pool) setColdRate(coldRate float64) {
	if coldRate == pl.coldRate {
		return
	}
	pl.coldRate = coldRate
	for _, u := range pl.records {
		u.Cold.SetRate(u.ID, coldRate)
	}
}

// newRecord creates the record of an upstream. The upstream itself reports how slow it
// is while it is cold, as the slowdown in its load reports.
func newRecord(entry discovery.Upstream) *balancer.Upstream {
	return &balancer.Upstream{
		ID:            entry.ID,
		Activation:    entry.Start,
		Address:       upstream.InstanceTarget(entry.ID, entry.Address),
		FailureDomain: entry.FailureDomain,
		Slots:         entry.Slots,
	}
}

// rebuild creates a new picker of the upstreams that accept requests. Unreachable ones
// are included only if there are no others.
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
	pl.members, pl.domains = reachable, failureDomains(reachable)
	pl.picker = pl.policy.Update(reachable)
	pl.lifecycle = s.ServiceVersion(service)
}

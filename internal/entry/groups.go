package entry

import (
	"maps"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// groupKey identifies a group across changes of the configuration.
type groupKey struct {
	service, group string
}

// groupState outlives snapshots: the policy and the records of its members.
type groupState struct {
	policyName string
	policy     balancer.Policy
	picker     balancer.Picker
	members    []*balancer.Upstream // of picker
	upstreams  map[string]*balancer.Upstream

	// config and lifecycle are what picker reflects.
	config    *config.Group
	lifecycle uint64
}

// groupStore implements routing.Groups. It is owned by the control goroutine.
type groupStore struct {
	// options describe this entry host to the policies.
	options balancer.Options
	// lifecycle determines which upstreams accept new requests.
	lifecycle *lifecycle.Snapshot
	groups    map[groupKey]*groupState
	// backoffs are keyed by "IP:port".
	backoffs *backoff.Registry
	// limits are keyed by "IP:port" too.
	limits *ratelimit.Registry
}

func newGroupStore(host, failureDomain string) *groupStore {
	schedule := timeslot.New(host)
	limits := ratelimit.NewRegistry(schedule)
	return &groupStore{
		options:  balancer.Options{FailureDomain: failureDomain, Schedule: schedule, Limits: limits},
		groups:   make(map[groupKey]*groupState),
		backoffs: backoff.NewRegistry(),
		limits:   limits,
	}
}

// extendBackoff extends the backoff of all upstreams with the server's address to until.
func (s *groupStore) extendBackoff(address string, until time.Time) {
	s.backoffs.Extend(address, until)
	for _, st := range s.groups {
		for _, u := range st.upstreams {
			if upstream.TargetAddress(u.Address) == address {
				u.Backoff.Extend(until)
			}
		}
	}
}

// setFleet sets this host's position and the number of entry hosts for the policies. It
// reports whether they changed; if so, the policies are rebuilt and the records stay.
func (s *groupStore) setFleet(self, hosts int) bool {
	if s.options.Self == self && s.options.EntryHosts == hosts {
		return false
	}
	s.options.Self = self
	s.options.EntryHosts = hosts
	for _, st := range s.groups {
		st.policyName = ""
	}
	return true
}

// Group implements routing.Groups. The picker is reused while neither the group's
// document nor the lifecycle of the service's upstreams has changed; it then reflects
// the newest lifecycle too.
func (s *groupStore) Group(svc *config.Service, g *config.Group) *routing.Group {
	key := groupKey{svc.Name, g.Name}
	st := s.groups[key]
	if st == nil {
		st = &groupState{upstreams: make(map[string]*balancer.Upstream)}
		s.groups[key] = st
	}
	version := s.lifecycle.ServiceVersion(svc.Name)
	if st.policyName != g.Policy || st.config != g || st.lifecycle != version {
		s.rebuild(svc.Name, g, st)
		st.config, st.lifecycle = g, version
	}
	return &routing.Group{Config: g, Picker: st.picker, Upstreams: st.members, Lifecycle: s.lifecycle.Version}
}

// prune removes the groups that are no longer in any document.
func (s *groupStore) prune(services []*config.Service, now time.Time) {
	present := make(map[groupKey]bool, len(s.groups))
	for _, svc := range services {
		for i := range svc.Groups {
			present[groupKey{svc.Name, svc.Groups[i].Name}] = true
		}
	}
	maps.DeleteFunc(s.groups, func(k groupKey, st *groupState) bool {
		if !present[k] {
			s.release(st, now)
		}
		return !present[k]
	})
}

// release releases the limits of a removed group's upstreams.
func (s *groupStore) release(st *groupState, now time.Time) {
	for _, u := range st.upstreams {
		s.limits.Release(now, u.Limit)
	}
}

// rebuild creates a new picker for a group.
func (s *groupStore) rebuild(service string, g *config.Group, st *groupState) {
	if st.policyName != g.Policy {
		st.policyName = g.Policy
		st.policy = s.buildPolicy(g)
	}
	s.refresh(st, g, clock.Now())
	st.members = s.acceptingUpstreams(service, g, st)
	st.picker = st.policy.Update(st.members)
}

// buildPolicy returns the policy that the group names. If this version does not know
// the name, it falls back to the product's own policy: the document was accepted, so
// requests to its upstreams must be served.
func (s *groupStore) buildPolicy(g *config.Group) balancer.Policy {
	options := s.options
	options.SlowStart = g.SlowStart.Std()
	b, err := registry.Lookup(g.Policy)
	if err != nil {
		b = spindle.Builder{}
	}
	return b.Build(options)
}

// acceptingUpstreams returns the members that accept new requests. Unreachable ones are
// returned only if there are no others.
func (s *groupStore) acceptingUpstreams(service string, g *config.Group, st *groupState) []*balancer.Upstream {
	var reachable, unreachable []*balancer.Upstream
	for i := range g.Upstreams {
		id := g.Upstreams[i].ID
		view, _ := s.lifecycle.View(lifecycle.UpstreamKey{Service: service, Upstream: id})
		switch {
		case !view.AcceptsRequests:
		case view.Unreachable:
			unreachable = append(unreachable, st.upstreams[id])
		default:
			reachable = append(reachable, st.upstreams[id])
		}
	}
	if len(reachable) == 0 {
		return unreachable
	}
	return reachable
}

// refresh creates records for new members and removes those of upstreams that are no
// longer configured. An upstream that joins a group with members gets a slow start.
func (s *groupStore) refresh(st *groupState, g *config.Group, now time.Time) {
	hadMembers := len(st.upstreams) > 0
	known := make(map[string]*balancer.Upstream, len(g.Upstreams))
	for i := range g.Upstreams {
		cu := &g.Upstreams[i]
		u := st.upstreams[cu.ID]
		if u == nil || u.Address != upstream.Target(cu.Address, g.TLS) {
			u = newUpstream(cu, g.TLS)
			u.Backoff.Extend(s.backoffs.Until(upstream.TargetAddress(u.Address)))
			u.Limit = s.limits.Acquire(upstream.TargetAddress(u.Address), 0)
			if hadMembers {
				u.Added = now
			}
		}
		known[cu.ID] = u
	}
	for id, u := range st.upstreams {
		if known[id] != u {
			s.limits.Release(now, u.Limit)
		}
	}
	st.upstreams = known
}

func newUpstream(cu *config.Upstream, t config.TLS) *balancer.Upstream {
	return &balancer.Upstream{
		ID:             cu.ID,
		Address:        upstream.Target(cu.Address, t),
		FailureDomain:  cu.FailureDomain,
		Slots:          cu.Slots,
		MaxConnections: cu.MaxConnections,
	}
}

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

// groupKey identifies a group over changes of configuration.
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

// groupStore implements routing.Groups. It belongs to the control goroutine.
type groupStore struct {
	// options are what policies are told of this entry host.
	options balancer.Options
	// lifecycle says which upstreams take new requests.
	lifecycle *lifecycle.Snapshot
	groups    map[groupKey]*groupState
	// rests are by "IP:port".
	rests *backoff.Registry
	// limits are by "IP:port" too.
	limits *ratelimit.Registry
}

func newGroupStore(host, failureDomain string) *groupStore {
	mine := timeslot.New(host)
	limits := ratelimit.NewRegistry(mine)
	return &groupStore{
		options: balancer.Options{FailureDomain: failureDomain, Schedule: mine, Limits: limits},
		groups:  make(map[groupKey]*groupState),
		rests:   backoff.NewRegistry(),
		limits:  limits,
	}
}

// rest takes in until when the server at an address wants nothing from this host.
func (s *groupStore) rest(address string, until time.Time) {
	s.rests.Extend(address, until)
	for _, st := range s.groups {
		for _, u := range st.upstreams {
			if upstream.TargetAddress(u.Address) == address {
				u.Backoff.Extend(until)
			}
		}
	}
}

// share tells the policies how many entry hosts there are. It reports whether
// that changed; the policies are then built anew, and the records stay.
func (s *groupStore) share(self, hosts int) bool {
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

// Group implements routing.Groups. The picker stays while neither the group's
// document nor anything about the service's upstreams has changed; it then
// reflects the newest lifecycle too.
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

// prune forgets the groups that no document has any more.
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

// release gives up what a group that is gone holds.
func (s *groupStore) release(st *groupState, now time.Time) {
	for _, u := range st.upstreams {
		s.limits.Release(now, u.Limit)
	}
}

// rebuild makes the picker of a group anew.
func (s *groupStore) rebuild(service string, g *config.Group, st *groupState) {
	if st.policyName != g.Policy {
		st.policyName = g.Policy
		st.policy = s.buildPolicy(g)
	}
	s.refresh(st, g, clock.Now())
	st.members = s.taking(service, g, st)
	st.picker = st.policy.Update(st.members)
}

// buildPolicy returns the policy that the group names. A name that this
// version does not know falls back to the product's own policy: the document
// was accepted, so its upstreams must be served.
func (s *groupStore) buildPolicy(g *config.Group) balancer.Policy {
	options := s.options
	options.SlowStart = g.SlowStart.Std()
	b, err := registry.Lookup(g.Policy)
	if err != nil {
		b = spindle.Builder{}
	}
	return b.Build(options)
}

// taking returns the members that take new requests; those that can't be
// reached only if there are no others.
func (s *groupStore) taking(service string, g *config.Group, st *groupState) []*balancer.Upstream {
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

// refresh makes records for new members and forgets those that are no longer
// configured. An upstream that joins a group which already had members starts
// slowly.
func (s *groupStore) refresh(st *groupState, g *config.Group, now time.Time) {
	joined := len(st.upstreams) > 0
	known := make(map[string]*balancer.Upstream, len(g.Upstreams))
	for i := range g.Upstreams {
		cu := &g.Upstreams[i]
		u := st.upstreams[cu.ID]
		if u == nil || u.Address != upstream.Target(cu.Address, g.TLS) {
			u = newUpstream(cu, g.TLS)
			u.Backoff.Extend(s.rests.Until(upstream.TargetAddress(u.Address)))
			u.Limit = s.limits.Acquire(upstream.TargetAddress(u.Address), 0)
			if joined {
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

package entry

import (
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// groupKey identifies a group over changes of configuration.
type groupKey struct {
	service, group string
}

// groupState outlives snapshots: the policy and the records of its members.
type groupState struct {
	policyName string
	policy     balancer.Policy
	upstreams  map[string]*balancer.Upstream
}

// groupStore implements routing.Groups. It belongs to the control goroutine.
type groupStore struct {
	groups map[groupKey]*groupState
}

func newGroupStore() *groupStore {
	return &groupStore{groups: make(map[groupKey]*groupState)}
}

// Group implements routing.Groups.
func (s *groupStore) Group(svc *config.Service, g *config.Group) *routing.Group {
	key := groupKey{svc.Name, g.Name}
	st := s.groups[key]
	if st == nil || st.policyName != g.Policy {
		st = &groupState{
			policyName: g.Policy,
			policy:     buildPolicy(g),
			upstreams:  make(map[string]*balancer.Upstream),
		}
		s.groups[key] = st
	}
	return &routing.Group{Config: g, Picker: st.policy.Update(st.members(g))}
}

// buildPolicy returns the policy that the group names. A name that this
// version does not know falls back to the product's own policy: the document
// was accepted, so its upstreams must be served.
func buildPolicy(g *config.Group) balancer.Policy {
	options := balancer.Options{SlowStart: g.SlowStart.Std()}
	b, err := registry.Lookup(g.Policy)
	if err != nil {
		b = spindle.Builder{}
	}
	return b.Build(options)
}

// members returns the records of the upstreams that take new requests, and
// forgets those that are no longer configured.
func (st *groupState) members(g *config.Group) []*balancer.Upstream {
	var active []*balancer.Upstream
	known := make(map[string]*balancer.Upstream, len(g.Upstreams))
	for i := range g.Upstreams {
		cu := &g.Upstreams[i]
		u := st.upstreams[cu.ID]
		if u == nil || u.Address != cu.Address {
			u = &balancer.Upstream{
				ID:             cu.ID,
				Address:        cu.Address,
				FailureDomain:  cu.FailureDomain,
				Slots:          cu.Slots,
				MaxConnections: cu.MaxConnections,
			}
		}
		known[cu.ID] = u
		if cu.State == config.Active {
			active = append(active, u)
		}
	}
	st.upstreams = known
	return active
}

package entry

import (
	"time"

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
	// options are what policies are told of this entry host.
	options balancer.Options
	groups  map[groupKey]*groupState
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
			policy:     s.buildPolicy(g),
			upstreams:  make(map[string]*balancer.Upstream),
		}
		s.groups[key] = st
	}
	return &routing.Group{Config: g, Picker: bindAlways{st.policy.Update(st.members(g, time.Now()))}}
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

// members returns the records of the upstreams that take new requests, and
// forgets those that are no longer configured. An upstream that joins a group
// which already had members starts slowly.
func (st *groupState) members(g *config.Group, now time.Time) []*balancer.Upstream {
	var active []*balancer.Upstream
	joined := len(st.upstreams) > 0
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
		if u.Added.IsZero() && joined && st.upstreams[cu.ID] != u {
			u.Added = now
		}
		known[cu.ID] = u
		if cu.State == config.Active {
			active = append(active, u)
		}
	}
	st.upstreams = known
	return active
}

// bindAlways sends a request at once where its policy would hold it. It stands
// in until requests wait in a local queue.
type bindAlways struct {
	picker balancer.Picker
}

// longestWait makes a policy bind a request.
const longestWait = time.Hour

// Pick implements balancer.Picker.
func (b bindAlways) Pick(info balancer.PickInfo) (balancer.Result, error) {
	res, err := b.picker.Pick(info)
	if err != balancer.ErrNoSlot {
		return res, err
	}
	info.Waited = longestWait
	return b.picker.Pick(info)
}

// Observe implements balancer.Observer.
func (b bindAlways) Observe(u *balancer.Upstream, f balancer.Feedback) {
	if o, ok := b.picker.(balancer.Observer); ok {
		o.Observe(u, f)
	}
}

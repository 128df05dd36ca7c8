package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// snapshot is a routing table with the state that is carried over to the next one. It is
// immutable; the state that it points to is safe for concurrent use.
type snapshot struct {
	table  *routing.Table
	rules  map[*routing.Rule]*targetSplit
	byRule map[targetName]*ruleState
	groups map[groupName]*groupState
}

// groupName identifies a group across configuration changes. Groups of the same registered
// service are one group, whichever document they are in.
type groupName struct {
	service, group string
}

func groupNameOf(s *config.Service, g *config.Group) groupName {
	if g.Registered != "" {
		return groupName{group: g.Registered}
	}
	return groupName{service: s.Name, group: g.Name}
}

// targetName identifies one target of a rule across configuration changes.
type targetName struct {
	service, rule string
	group         groupName
}

// ruleState holds the retry budget, the latencies and the bytes of one target of a rule.
type ruleState struct {
	budget  *retry.Budget
	latency *retry.Latency
	bytes   *byteAverage
	group   *groupState
}

// targetSplit distributes the requests of one rule over its targets by smooth weighted
// round robin: each request goes to the target that is furthest behind its weight.
type targetSplit struct {
	states  []*ruleState
	weights []int
	total   int

	mu     sync.Mutex
	credit []int
}

// next returns the target for the next request.
func (s *targetSplit) next() *ruleState {
	if len(s.states) == 1 {
		return s.states[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, w := range s.weights {
		s.credit[i] += w
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.states[best]
}

// randomizeStart advances the rotation to a random position, so that many entry hosts with
// few requests each do not all begin with the same target.
func (s *targetSplit) randomizeStart(random uint64) {
	for range random % uint64(max(s.total, 1)) % maxStartOffset {
		s.next()
	}
}

// maxStartOffset bounds the steps of randomizeStart.
const maxStartOffset = 64

// nextSnapshot returns a snapshot of t. It carries over the state of rules and groups that
// are in the old snapshot.
func (p *Proxy) nextSnapshot(old *snapshot, t *routing.Table) *snapshot {
	if old == nil {
		old = &snapshot{}
	}
	next := &snapshot{
		table:  t,
		rules:  make(map[*routing.Rule]*targetSplit),
		byRule: make(map[targetName]*ruleState),
		groups: make(map[groupName]*groupState),
	}
	for _, s := range t.Services() {
		for _, r := range s.Rules() {
			next.rules[r] = p.splitOf(old, next, r)
		}
	}
	return next
}

func (p *Proxy) splitOf(old, next *snapshot, r *routing.Rule) *targetSplit {
	out := new(targetSplit)
	for _, target := range r.Targets {
		group := p.carryGroup(old, next, r.Service, target.Group)
		key := targetName{r.Service.Name, r.Config.Name, groupNameOf(r.Service, target.Group.Config)}
		rs := p.carryRule(old.byRule[key], r.Config, group)
		next.byRule[key] = rs
		out.states = append(out.states, rs)
		out.weights = append(out.weights, target.Weight)
		out.total += target.Weight
	}
	out.credit = make([]int, len(out.states))
	if len(out.states) > 1 {
		out.randomizeStart(p.random())
	}
	return out
}

func (p *Proxy) carryRule(old *ruleState, r *config.Rule, group *groupState) *ruleState {
	percent := budgetPercent(r)
	if old == nil {
		return &ruleState{budget: p.budgetOf(group, percent), latency: new(retry.Latency), bytes: new(byteAverage), group: group}
	}
	if group.budget == nil {
		old.budget.SetPercent(percent)
	}
	return &ruleState{budget: old.budget, latency: old.latency, bytes: old.bytes, group: group}
}

// budgetOf returns a new budget for a rule, or the budget that all rules of a registered
// service share.
func (p *Proxy) budgetOf(g *groupState, percent float64) *retry.Budget {
	if g.budget == nil {
		return p.newBudget(percent)
	}
	return g.budget
}

func (p *Proxy) carryGroup(old, next *snapshot, s *config.Service, group *routing.Group) *groupState {
	key := groupNameOf(s, group.Config)
	g := next.groups[key]
	if g != nil {
		return g
	}
	g = old.groups[key]
	if g == nil {
		g = p.newGroup(s, group.Config)
		g.crossing.events = crossingEventsOf(g.serviceName, old, next)
	}
	g.configure(group, p.entryHosts)
	next.groups[key] = g
	return g
}

// crossingEventsOf returns the bound on events that the groups of a service share.
func crossingEventsOf(service string, snapshots ...*snapshot) *crossingEvents {
	for _, s := range snapshots {
		for _, g := range s.groups {
			if g.serviceName == service {
				return g.crossing.events
			}
		}
	}
	return new(crossingEvents)
}

// newGroup returns the state of a new group. A registered service gets no limiter, since
// its upstreams report their load.
func (p *Proxy) newGroup(s *config.Service, g *config.Group) *groupState {
	if g.Registered == "" {
		return newGroupState(s.Name, p.newLimiter(slotsOf(g)), g.Queue.MaxWaiting)
	}
	state := newGroupState(g.Registered, nil, g.Queue.MaxWaiting)
	state.budget = p.sharedBudget()
	return state
}

func slotsOf(g *config.Group) int {
	slots := 0
	for i := range g.Upstreams {
		if g.Upstreams[i].State != config.Draining {
			slots += g.Upstreams[i].Slots
		}
	}
	return slots
}

func newLimiter(slots int) *limit.Limiter { return limit.ForGroup(slots, 1) }

// currentGroup is the group's latest snapshot. A request that waited or is retried loads it
// again, so that it is never sent to an upstream that has left.
type currentGroup = atomic.Pointer[routing.Group]

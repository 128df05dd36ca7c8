package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// snapshot is a routing table with the state that outlives it. It is
// immutable; what it points to is safe for concurrent use.
type snapshot struct {
	table  *routing.Table
	rules  map[*routing.Rule]*targetSplit
	byRule map[targetName]*ruleState
	groups map[groupName]*groupState
}

// groupName identifies a group over changes of configuration. Groups of one
// registered service are one, whichever document they stand in.
type groupName struct {
	service, group string
}

func groupNameOf(s *config.Service, g *config.Group) groupName {
	if g.Registered != "" {
		return groupName{group: g.Registered}
	}
	return groupName{service: s.Name, group: g.Name}
}

// targetName identifies one target of a rule over changes of configuration.
type targetName struct {
	service, rule string
	group         groupName
}

// ruleState is what the entry host has learned about one target of a rule.
type ruleState struct {
	budget  *retry.Budget
	latency *retry.Latency
	group   *groupState
}

// shares are the targets of one rule. With several, each request goes to the
// one that is furthest behind its weight.
type targetSplit struct {
	states  []*ruleState
	weights []int
	total   int

	mu     sync.Mutex
	credit []int
}

// next returns the target of the next request.
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

// start puts the targets at a random point of their turn, so that many entry
// hosts with few requests each do not all begin with the same one.
func (s *targetSplit) randomizeStart(random uint64) {
	for range random % uint64(max(s.total, 1)) % maxStartOffset {
		s.next()
	}
}

// maxStartTurns bounds the turns taken in advance.
const maxStartOffset = 64

// nextSnapshot compiles t and carries over the state of the rules and groups
// that were there before.
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
		return &ruleState{budget: p.budgetOf(group, percent), latency: new(retry.Latency), group: group}
	}
	if group.budget == nil {
		old.budget.SetPercent(percent)
	}
	return &ruleState{budget: old.budget, latency: old.latency, group: group}
}

// budgetOf returns a budget of the rule's own, or the one that all rules of a
// registered service share.
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
	}
	g.configure(group, p.entryHosts)
	next.groups[key] = g
	return g
}

// newGroup returns the state of a new group. The upstreams of a registered
// service tell how full they are; no limit is guessed for them.
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

// currentGroup is the group's newest snapshot. A request that waits or is
// retried reads it anew, so that it never goes to an upstream that left.
type currentGroup = atomic.Pointer[routing.Group]

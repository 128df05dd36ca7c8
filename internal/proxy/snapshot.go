package proxy

import (
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
	rules  map[*routing.Rule]*ruleState
	byRule map[name]*ruleState
	groups map[name]*groupState
}

// name identifies a rule or a group over changes of configuration.
type name struct {
	service, name string
}

// ruleState is what the entry host has learned about one rule.
type ruleState struct {
	budget  *retry.Budget
	latency *retry.Latency
	group   *groupState
}

// nextSnapshot compiles t and carries over the state of the rules and groups
// that were there before.
func (p *Proxy) nextSnapshot(old *snapshot, t *routing.Table) *snapshot {
	if old == nil {
		old = &snapshot{}
	}
	next := &snapshot{
		table:  t,
		rules:  make(map[*routing.Rule]*ruleState),
		byRule: make(map[name]*ruleState),
		groups: make(map[name]*groupState),
	}
	for _, s := range t.Services() {
		for _, r := range s.Rules() {
			group := p.carryGroup(old, next, r)
			key := name{s.Config.Name, r.Config.Name}
			rs := p.carryRule(old.byRule[key], r.Config, group)
			next.byRule[key] = rs
			next.rules[r] = rs
		}
	}
	return next
}

func (p *Proxy) carryRule(old *ruleState, r *config.Rule, group *groupState) *ruleState {
	percent := budgetPercent(r)
	if old == nil {
		return &ruleState{budget: p.newBudget(percent), latency: new(retry.Latency), group: group}
	}
	old.budget.SetPercent(percent)
	return &ruleState{budget: old.budget, latency: old.latency, group: group}
}

func (p *Proxy) carryGroup(old, next *snapshot, r *routing.Rule) *groupState {
	key := name{r.Service.Name, r.Group.Config.Name}
	g := next.groups[key]
	if g != nil {
		return g
	}
	g = old.groups[key]
	if g == nil {
		g = newGroupState(p.newLimiter(slotsOf(r.Group.Config)), r.Group.Config.Queue.MaxWaiting)
	}
	g.configure(r.Group, p.entryHosts)
	next.groups[key] = g
	return g
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

package statechart

// check validates a chart in which all names have been resolved.
func (p *parser) check() {
	p.checkTransitions()
	p.checkReachable()
	p.checkDeadEnds()
	p.checkUnused()
}

// checkTransitions reports duplicate transitions for one event and transitions from
// final states.
func (p *parser) checkTransitions() {
	c := p.chart
	first := make(map[[2]int]int)
	for _, a := range c.transitions {
		key := [2]int{int(a.From), int(a.Event)}
		if line, duplicate := first[key]; duplicate {
			p.report(a.line, "state %s has a second transition for event %s; the first is on line %d",
				c.StateName(a.From), c.EventName(a.Event), line)
			continue
		}
		first[key] = a.line
		if c.IsFinal(a.From) {
			p.report(a.line, "final state %s has a transition for event %s", c.StateName(a.From), c.EventName(a.Event))
		}
	}
}

// checkReachable reports states that are not reachable from the initial state.
func (p *parser) checkReachable() {
	c := p.chart
	reached := make([]bool, len(c.states))
	reached[c.initial] = true
	for changed := true; changed; {
		changed = false
		for _, a := range c.transitions {
			if reached[a.From] && !reached[a.To] {
				reached[a.To] = true
				changed = true
			}
		}
	}
	for s, ok := range reached {
		if !ok {
			p.report(c.states[s].line, "state %s is unreachable", c.states[s].Name)
		}
	}
}

// checkDeadEnds reports states that have no transition to another state and are not
// marked final.
func (p *parser) checkDeadEnds() {
	c := p.chart
	left := make([]bool, len(c.states))
	for _, a := range c.transitions {
		if a.From != a.To {
			left[a.From] = true
		}
	}
	for s, ok := range left {
		if !ok && !c.states[s].Final {
			p.report(c.states[s].line, "state %s has no transition to another state and is not marked final", c.states[s].Name)
		}
	}
}

// checkUnused reports events and effects that no transition uses.
func (p *parser) checkUnused() {
	c := p.chart
	events := make([]bool, len(c.events))
	var effects Effects
	for _, a := range c.transitions {
		events[a.Event] = true
		effects |= a.Effects
	}
	for e, used := range events {
		if !used {
			p.report(c.events[e].line, "event %s has no transition", c.events[e].Name)
		}
	}
	for e := range c.effects {
		if !effects.Has(1 << e) {
			p.report(c.effects[e].line, "effect %s is never used", c.effects[e].Name)
		}
	}
}

package statechart

// check reports the faults of a chart whose names are all known.
func (p *parser) check() {
	p.checkArrows()
	p.checkReachable()
	p.checkEnds()
	p.checkUnused()
}

// checkArrows reports two arrows for one event and arrows out of final states.
func (p *parser) checkArrows() {
	c := p.chart
	first := make(map[[2]int]int)
	for _, a := range c.arrows {
		key := [2]int{int(a.From), int(a.Event)}
		if line, twice := first[key]; twice {
			p.fault(a.line, "state %s has a second arrow for event %s; the first is in line %d",
				c.StateName(a.From), c.EventName(a.Event), line)
			continue
		}
		first[key] = a.line
		if c.IsFinal(a.From) {
			p.fault(a.line, "final state %s has an arrow for event %s", c.StateName(a.From), c.EventName(a.Event))
		}
	}
}

// checkReachable reports states that no path from the initial one reaches.
func (p *parser) checkReachable() {
	c := p.chart
	reached := make([]bool, len(c.states))
	reached[c.initial] = true
	for grown := true; grown; {
		grown = false
		for _, a := range c.arrows {
			if reached[a.From] && !reached[a.To] {
				reached[a.To] = true
				grown = true
			}
		}
	}
	for s, ok := range reached {
		if !ok {
			p.fault(c.states[s].line, "state %s is unreachable", c.states[s].Name)
		}
	}
}

// checkEnds reports states that nothing leaves and that are not marked final.
func (p *parser) checkEnds() {
	c := p.chart
	left := make([]bool, len(c.states))
	for _, a := range c.arrows {
		if a.From != a.To {
			left[a.From] = true
		}
	}
	for s, ok := range left {
		if !ok && !c.states[s].Final {
			p.fault(c.states[s].line, "state %s is a dead end and not marked final", c.states[s].Name)
		}
	}
}

// checkUnused reports events and effects that no arrow uses.
func (p *parser) checkUnused() {
	c := p.chart
	events := make([]bool, len(c.events))
	var effects Effects
	for _, a := range c.arrows {
		events[a.Event] = true
		effects |= a.Effects
	}
	for e, used := range events {
		if !used {
			p.fault(c.events[e].line, "event %s has no arrow", c.events[e].Name)
		}
	}
	for e := range c.effects {
		if !effects.Has(1 << e) {
			p.fault(c.effects[e].line, "effect %s is never done", c.effects[e].Name)
		}
	}
}

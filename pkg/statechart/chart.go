// Package statechart reads state charts from files and interprets them.
//
// A chart is checked completely when it is read, so that a program with a
// wrong chart does not start. It is then a dense table: a step is one index
// and allocates nothing. A Chart is immutable and safe for concurrent use; the
// current state is kept by the caller.
package statechart

import "fmt"

// State is a state of one chart.
type State uint8

// Event is an event of one chart.
type Event uint8

// Effects is the set of effects of one step, one bit for each effect.
type Effects uint32

// Has reports whether e contains all of other.
func (e Effects) Has(other Effects) bool { return e&other == other }

// item is one state, event or effect as declared in the file.
type item struct {
	// Name is what arrows and code refer to.
	Name string
	// Doc is one sentence for readers.
	Doc string
	// Final marks a state that nothing leaves.
	Final bool

	line int
}

// arrow is one transition.
type arrow struct {
	// From and To are the states before and after.
	From, To State
	// Event causes the step.
	Event Event
	// Effects are what the caller must do.
	Effects Effects

	line int
}

// NoTransitionError means that an event has no arrow in the current state.
type NoTransitionError struct {
	// Chart, State and Event are names from the file.
	Chart, State, Event string
}

// Error implements error.
func (e *NoTransitionError) Error() string {
	return fmt.Sprintf("chart %s: state %s has no arrow for event %s", e.Chart, e.State, e.Event)
}

// cell is the compiled entry for one state and event.
type cell struct {
	to      State
	effects Effects
	missing *NoTransitionError
}

// Chart is a checked and compiled state chart.
type Chart struct {
	name    string
	doc     string
	initial State
	states  []item
	events  []item
	effects []item
	arrows  []arrow
	table   []cell
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the first state.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether nothing leaves s.
func (c *Chart) IsFinal(s State) bool { return c.states[s].Final }

// Step applies e in state s. The error is a *NoTransitionError, and the state is
// then unchanged.
func (c *Chart) Step(s State, e Event) (State, Effects, error) {
	to := &c.table[int(s)*len(c.events)+int(e)]
	if to.missing != nil {
		return s, 0, to.missing
	}
	return to.to, to.effects, nil
}

// StateName returns the name of s.
func (c *Chart) StateName(s State) string { return c.states[s].Name }

// EventName returns the name of e.
func (c *Chart) EventName(e Event) string { return c.events[e].Name }

// MustState returns the state with the given name. It panics if there is
// none: code calls it for constants, at start.
func (c *Chart) MustState(name string) State { return State(c.must("state", c.states, name)) }

// MustEvent is MustState for events.
func (c *Chart) MustEvent(name string) Event { return Event(c.must("event", c.events, name)) }

// MustEffect is MustState for effects.
func (c *Chart) MustEffect(name string) Effects {
	return 1 << c.must("effect", c.effects, name)
}

func (c *Chart) must(kind string, items []item, name string) int {
	i := indexOf(items, name)
	if i < 0 {
		panic(fmt.Sprintf("chart %s has no %s %q", c.name, kind, name))
	}
	return i
}

func indexOf(items []item, name string) int {
	for i := range items {
		if items[i].Name == name {
			return i
		}
	}
	return -1
}

// compile fills the table from the arrows.
func (c *Chart) compile() {
	c.table = make([]cell, len(c.states)*len(c.events))
	for s := range c.states {
		for e := range c.events {
			missing := &NoTransitionError{c.name, c.states[s].Name, c.events[e].Name}
			c.table[s*len(c.events)+e] = cell{to: State(s), missing: missing}
		}
	}
	for _, a := range c.arrows {
		c.table[int(a.From)*len(c.events)+int(a.Event)] = cell{to: a.To, effects: a.Effects}
	}
}

// Package statechart parses state charts from files and executes them.
//
// A chart is validated completely when it is parsed, so that a program with an
// invalid chart does not start. It is then compiled to a dense table: a step is
// one index operation and does not allocate. A Chart is immutable and safe for
// concurrent use; the caller holds the current state.
package statechart

import "fmt"

// State is a state of one chart.
type State uint8

// Event is an event of one chart.
type Event uint8

// Effects is the set of effects of one step, as a bit mask.
type Effects uint32

// Has reports whether e contains all of other.
func (e Effects) Has(other Effects) bool { return e&other == other }

// item is one state, event or effect as declared in the file.
type item struct {
	// Name is the identifier that transitions and code refer to.
	Name string
	// Doc is a one-sentence description.
	Doc string
	// Final marks a state without outgoing transitions.
	Final bool

	line int
}

// transition is one transition, an entry under the key "arrows" of the file.
type transition struct {
	// From and To are the states before and after.
	From, To State
	// Event triggers the transition.
	Event Event
	// Effects are the actions that the caller must carry out.
	Effects Effects

	line int
}

// NoTransitionError means that an event has no transition in the current state.
type NoTransitionError struct {
	// Chart, State and Event are names from the file.
	Chart, State, Event string
}

// Error implements error.
func (e *NoTransitionError) Error() string {
	return fmt.Sprintf("chart %s: state %s has no transition for event %s", e.Chart, e.State, e.Event)
}

// cell is the compiled entry for one state and event.
type cell struct {
	to      State
	effects Effects
	missing *NoTransitionError
}

// Chart is a validated and compiled state chart.
type Chart struct {
	name        string
	doc         string
	initial     State
	states      []item
	events      []item
	effects     []item
	transitions []transition
	table       []cell
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether s is a final state, without outgoing transitions.
func (c *Chart) IsFinal(s State) bool { return c.states[s].Final }

// Step applies e in state s. If there is no transition, it returns s and a
// *NoTransitionError.
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

// MustState returns the state with the given name and panics if there is none.
// It is meant for initialising package variables.
func (c *Chart) MustState(name string) State { return State(c.must("state", c.states, name)) }

// MustEvent is like MustState for events.
func (c *Chart) MustEvent(name string) Event { return Event(c.must("event", c.events, name)) }

// MustEffect is like MustState for effects.
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

// compile fills the table from the transitions.
func (c *Chart) compile() {
	c.table = make([]cell, len(c.states)*len(c.events))
	for s := range c.states {
		for e := range c.events {
			missing := &NoTransitionError{c.name, c.states[s].Name, c.events[e].Name}
			c.table[s*len(c.events)+e] = cell{to: State(s), missing: missing}
		}
	}
	for _, a := range c.transitions {
		c.table[int(a.From)*len(c.events)+int(a.Event)] = cell{to: a.To, effects: a.Effects}
	}
}

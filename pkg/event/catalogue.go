package event

import (
	"maps"
	"strconv"
)

// Entry describes one code.
type Entry struct {
	// Name is the stable name in logs.
	Name string
	// Level is the log level.
	Level Level
	// Meaning is one sentence for operators.
	Meaning string
	// Unit is the unit of Event.Value; empty if unused.
	Unit string
}

// Catalogue describes every code. Each subsystem has its own range and file.
var Catalogue = merge(
	processEvents,
	configEvents,
	requestEvents,
	retryEvents,
	limitEvents,
	memberEvents,
	measureEvents,
	drainEvents,
	executionEvents,
	invariantEvents,
	lifecycleInvariantEvents,
)

// merge joins the subsystems' entries. Two entries for one code are a
// programming error, found at start.
func merge(parts ...map[Code]Entry) map[Code]Entry {
	all := make(map[Code]Entry)
	for _, p := range parts {
		for c := range p {
			if _, twice := all[c]; twice {
				panic("event code " + strconv.Itoa(int(c)) + " stands twice")
			}
		}
		maps.Copy(all, p)
	}
	return all
}

// String returns the stable name of c, or its number if it is not catalogued.
func (c Code) String() string {
	if e, ok := Catalogue[c]; ok {
		return e.Name
	}
	return strconv.Itoa(int(c))
}

package event

import (
	"maps"
	"strconv"
)

// Entry describes an event code.
type Entry struct {
	// Name is the event's stable name in logs and metrics.
	Name string
	// Level is the severity.
	Level Level
	// Meaning describes the event for operators.
	Meaning string
	// Unit is the unit of Event.Value; empty if unused.
	Unit string
}

// Catalogue describes every event code. Each subsystem has its own range of codes and its
// own file.
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

// merge combines the subsystems' entries. It panics if a code is defined twice, so that
// the programming error shows at start-up.
func merge(parts ...map[Code]Entry) map[Code]Entry {
	all := make(map[Code]Entry)
	for _, p := range parts {
		for c := range p {
			if _, exists := all[c]; exists {
				panic("event code " + strconv.Itoa(int(c)) + " is defined twice")
			}
		}
		maps.Copy(all, p)
	}
	return all
}

// String returns the stable name of c, or its number if c is not in Catalogue.
func (c Code) String() string {
	if e, ok := Catalogue[c]; ok {
		return e.Name
	}
	return strconv.Itoa(int(c))
}

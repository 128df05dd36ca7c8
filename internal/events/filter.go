package events

import "github.com/dapplespindle/dapplespindle/pkg/event"

// Filter selects events. A zero field matches any value.
type Filter struct {
	// Request is a caller's request ID.
	Request string
	// Service, Rule and Upstream must match exactly.
	Service, Rule, Upstream string
	// MinCode and MaxCode bound the event's code; a MaxCode of 0 means no upper bound.
	MinCode, MaxCode event.Code
	// MinLevel is the lowest level selected.
	MinLevel event.Level
}

// Match reports whether f selects e.
func (f *Filter) Match(e *event.Event) bool {
	if e.Code < f.MinCode || (f.MaxCode != 0 && e.Code > f.MaxCode) {
		return false
	}
	return levelOf(e.Code) >= f.MinLevel &&
		matches(f.Request, e.Request) &&
		matches(f.Service, e.Service) &&
		matches(f.Rule, e.Rule) &&
		matches(f.Upstream, e.Upstream)
}

func matches(want, got string) bool { return want == "" || want == got }

// numCodes is the number of values of event.Code.
const numCodes = 1 << 16

// levels maps each code to its level in event.Catalogue. It is an array because a map
// lookup on the request path costs several times as much.
var levels = func() [numCodes]event.Level {
	var t [numCodes]event.Level
	for c, entry := range event.Catalogue {
		t[c] = entry.Level
	}
	return t
}()

func levelOf(c event.Code) event.Level { return levels[c] }

package events

import "github.com/dapplespindle/dapplespindle/pkg/event"

// Filter selects events. A zero field selects all.
type Filter struct {
	// Request is a caller's request id.
	Request string
	// Service, Rule and Upstream are compared exactly.
	Service, Rule, Upstream string
	// MinCode and MaxCode bound the event's code; MaxCode 0 means no bound.
	MinCode, MaxCode event.Code
	// MinLevel is the lowest level.
	MinLevel event.Level
}

// Match reports whether f selects e.
func (f *Filter) Match(e *event.Event) bool {
	if e.Code < f.MinCode || (f.MaxCode != 0 && e.Code > f.MaxCode) {
		return false
	}
	return levelOf(e.Code) >= f.MinLevel &&
		same(f.Request, e.Request) &&
		same(f.Service, e.Service) &&
		same(f.Rule, e.Rule) &&
		same(f.Upstream, e.Upstream)
}

func same(want, got string) bool { return want == "" || want == got }

// numCodes is the number of values of event.Code.
const numCodes = 1 << 16

// levels is the catalogue's level of each code, as an array: a map look-up on
// the call path costs several times as much.
var levels = func() [numCodes]event.Level {
	var t [numCodes]event.Level
	for c, entry := range event.Catalogue {
		t[c] = entry.Level
	}
	return t
}()

func levelOf(c event.Code) event.Level { return levels[c] }

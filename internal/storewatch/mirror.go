package storewatch

import (
	"cmp"
	"slices"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/evacuation"
)

// historyEvents is the minimum number of changes of upstreams and evacuations kept for peers once
// older ones have been dropped, and half of the maximum. Most changes come within seconds, when all
// upstreams start. A peer that lacks more changes receives the full state, which is far more
// expensive.
const historyEvents = 8192

// mirror holds the published state as of one revision, for handing it to peers. It is used only
// on the goroutine of Watcher.Run.
type mirror struct {
	revision       uint64
	config         *config.Configuration
	configRevision uint64 // a revision at or after that of the configuration
	upstreams      map[string]discovery.Upstream
	evacuated      evacuation.Set
	history        []Event // oldest first
	historyStart   uint64  // history holds the changes after this revision
}

func newMirror() *mirror { return &mirror{upstreams: make(map[string]discovery.Upstream)} }

// replace sets the full state and reports true, unless a newer one is known.
func (m *mirror) replace(s *State) bool {
	if s.Revision < m.revision {
		return false
	}
	m.revision, m.historyStart = s.Revision, s.Revision
	m.history = nil
	m.setConfig(s.Configuration, s.Revision)
	m.evacuated.Replace(s.Evacuated, s.Revision)
	clear(m.upstreams)
	for _, u := range s.Upstreams {
		m.upstreams[u.ID] = u
	}
	return true
}

// apply applies the changes that are newer than what is known, and returns them; nil if there are none.
func (m *mirror) apply(c *Changes) *Changes {
	if c.Revision <= m.revision {
		return nil
	}
	out := &Changes{Revision: c.Revision, Configurations: c.Configurations}
	for _, e := range c.Events {
		if e.Revision > m.revision {
			m.record(e)
			out.Events = append(out.Events, e)
		}
	}
	for _, newer := range c.Configurations {
		m.setConfig(newer, c.Revision)
	}
	m.revision = c.Revision
	return out
}

func (m *mirror) setConfig(c *config.Configuration, revision uint64) {
	if c != nil && (m.config == nil || c.Version > m.config.Version) {
		m.config, m.configRevision = c, revision
	}
}

func (m *mirror) record(e Event) {
	switch {
	case e.Evacuation != nil:
		m.evacuated.Apply(*e.Evacuation, e.Revision)
	case e.Upstream != nil:
		m.upstreams[e.Upstream.ID] = *e.Upstream
	default:
		delete(m.upstreams, e.Removed)
	}
	m.history = append(m.history, e)
	if len(m.history) > 2*historyEvents {
		m.historyStart = m.history[historyEvents-1].Revision
		m.history = slices.Clone(m.history[historyEvents:])
	}
}

// changes returns the changes after a revision, and false if the history does not go back that
// far.
func (m *mirror) changes(after uint64) (*Changes, bool) {
	if after < m.historyStart {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(e Event, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	out := &Changes{Revision: m.revision, Events: slices.Clone(m.history[first:])}
	if m.config != nil && m.configRevision > after {
		out.Configurations = []*config.Configuration{m.config}
	}
	return out, true
}

// state returns the full state.
func (m *mirror) state() *State {
	out := &State{Revision: m.revision, Configuration: m.config, Evacuated: m.evacuated.List()}
	for _, u := range m.upstreams {
		out.Upstreams = append(out.Upstreams, u)
	}
	return out
}

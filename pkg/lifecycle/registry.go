// Package lifecycle decides which upstreams take new requests, and when an
// entry host that stops may end.
//
// News about an upstream comes late, twice and in any order: from documents,
// the platform's host list, the upstream's own refusals and peers. Each piece
// carries what it is about, a document revision or an activation, and is
// joined, never overwritten. An upstream that is known to leave therefore
// stays so until a document with more authority says otherwise.
//
// The package does no I/O and reads no clock. Registry and Host belong to the
// control goroutine; a Snapshot is immutable.
package lifecycle

import (
	"maps"
	"time"

	"github.com/dapplespindle/dapplespindle/charts"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

// Config bounds a Registry.
type Config struct {
	// ConnectFailures is the number of failed connections in a row after which
	// an upstream counts as unreachable.
	ConnectFailures int
	// UnreachablePause is the time after which an unreachable upstream is tried again.
	UnreachablePause time.Duration
	// NoticeRetention is how long the notice about an upstream that is not configured is kept.
	NoticeRetention time.Duration
	// MaxNotices bounds the notices kept. At the bound news about upstreams that
	// are not configured is dropped and counted; none is evicted.
	MaxNotices int
}

// DefaultConfig returns the bounds for the target in docs/DEVELOPERS.md.
func DefaultConfig() Config {
	return Config{
		ConnectFailures:  3,
		UnreachablePause: 2 * time.Second,
		NoticeRetention:  time.Hour,
		MaxNotices:       4096,
	}
}

// UpstreamSpec is one upstream as the document of its service lists it.
type UpstreamSpec struct {
	// Upstream is its id.
	Upstream string
	// Draining is true when the operator asked that it take no new requests.
	Draining bool
	// Activation counts how often the operator brought this upstream back
	// after it had left of its own; it never falls.
	Activation uint64
	// SlowStart is the time over which its share grows; 0 is off.
	SlowStart time.Duration
	// Evacuated is true while nothing new may be sent to it although it does not leave:
	// its failure domain is evacuated.
	Evacuated bool
}

// member is one configured upstream.
type member struct {
	key       UpstreamKey
	listing   UpstreamSpec
	revision  uint64
	state     statechart.State
	warmSince time.Time
	failures  int
	failedAt  time.Time
}

// knownNotice is a notice and when anything in it was last new.
type knownNotice struct {
	notice  Notice
	learned time.Time
}

// Registry holds what one entry host knows about its upstreams.
type Registry struct {
	conf      Config
	events    event.Sink
	services  map[string]map[string]*member // the members by service and upstream
	byKey     map[Key]*member
	notices   map[Key]*knownNotice
	revisions map[string]uint64 // of each service's document
	announce  []Notice
	changed   bool
	touched   map[string]bool // services that differ from last
	last      *Snapshot
	version   uint64
	dropped   uint64
}

// NewRegistry returns a registry without upstreams.
func NewRegistry(conf Config, events event.Sink) *Registry {
	return &Registry{
		conf:      conf,
		events:    events,
		services:  make(map[string]map[string]*member),
		touched:   make(map[string]bool),
		last:      new(Snapshot),
		byKey:     make(map[Key]*member),
		notices:   make(map[Key]*knownNotice),
		revisions: make(map[string]uint64),
	}
}

// Changed reports whether Flush has anything to return.
func (r *Registry) Changed() bool { return r.changed || len(r.announce) > 0 }

// Flush returns what changed since the last call: a new snapshot, nil if none
// is due, and the notices to tell the peers at once.
func (r *Registry) Flush() (*Snapshot, []Notice) {
	announce := r.announce
	r.announce = nil
	if !r.changed {
		return nil, announce
	}
	r.changed = false
	return r.snapshot(), announce
}

// snapshot builds the services that were touched and shares the others with
// the snapshot before.
func (r *Registry) snapshot() *Snapshot {
	r.version++
	s := &Snapshot{Version: r.version, services: make(map[string]*serviceViews, len(r.services))}
	maps.Copy(s.services, r.last.services)
	for service := range r.touched {
		if len(r.services[service]) == 0 {
			delete(s.services, service)
			continue
		}
		s.services[service] = r.views(service)
	}
	clear(r.touched)
	r.last = s
	return s
}

func (r *Registry) views(service string) *serviceViews {
	members := r.services[service]
	out := &serviceViews{version: r.version, views: make(map[string]View, len(members))}
	for upstream, m := range members {
		out.views[upstream] = View{
			State:           charts.Upstream.StateName(m.state),
			AcceptsRequests: r.takes(m) && !m.listing.Evacuated,
			Leaving:         m.state == stLeaving || m.state == stDrained,
			Unreachable:     m.state == stUnreachable,
			Activation:      m.listing.Activation,
			WarmSince:       m.warmSince,
			SlowStart:       m.listing.SlowStart,
		}
	}
	return out
}

// member returns a configured upstream, or nil.
func (r *Registry) member(k UpstreamKey) *member { return r.services[k.Service][k.Upstream] }

// add and drop keep both views of the members alike.
func (r *Registry) add(m *member) {
	of := r.services[m.key.Service]
	if of == nil {
		of = make(map[string]*member)
		r.services[m.key.Service] = of
	}
	of[m.key.Upstream] = m
	r.byKey[KeyOf(m.key.Service, m.key.Upstream)] = m
}

func (r *Registry) drop(m *member) {
	of := r.services[m.key.Service]
	delete(of, m.key.Upstream)
	if len(of) == 0 {
		delete(r.services, m.key.Service)
	}
	delete(r.byKey, KeyOf(m.key.Service, m.key.Upstream))
}

// takes is the rule: the document in force lists the upstream as active and
// outranks everything known about its leaving.
func (r *Registry) takes(m *member) bool {
	return !m.listing.Draining && r.notice(m.key).allows(m.revision, m.listing.Activation)
}

func (r *Registry) notice(k UpstreamKey) Notice {
	key := KeyOf(k.Service, k.Upstream)
	if n := r.notices[key]; n != nil {
		return n.notice
	}
	return Notice{Key: key}
}

// Notices returns what is known about leaving upstreams, to repeat to peers.
// What the document in force outranks is left out: its upstream takes requests
// again, and a peer that knows neither the notice nor the document does no
// harm by sending it some. A notice about an upstream that is not configured is repeated for half of
// the time it is kept, so that peers do not keep it alive among them.
func (r *Registry) Notices(now time.Time) []Notice {
	var notices []Notice
	for key, n := range r.notices {
		if r.repeats(now, r.byKey[key], n) {
			notices = append(notices, n.notice)
		}
	}
	return notices
}

// repeats reports whether peers are still told of a notice about m, which is
// nil for an upstream that is not configured.
func (r *Registry) repeats(now time.Time, m *member, n *knownNotice) bool {
	if m == nil {
		return now.Sub(n.learned) < r.conf.NoticeRetention/2
	}
	return m.listing.Draining || !n.notice.allows(m.revision, m.listing.Activation)
}

// Dropped returns the number of notices that found no room.
func (r *Registry) Dropped() uint64 { return r.dropped }

// learn joins a notice and reports whether anything in it was new.
func (r *Registry) learn(now time.Time, n Notice) bool {
	known := r.notices[n.Key]
	if known == nil {
		if len(r.notices) >= r.conf.MaxNotices && r.byKey[n.Key] == nil {
			r.dropped++
			return false
		}
		known = &knownNotice{notice: Notice{Key: n.Key}}
		r.notices[n.Key] = known
	}
	before := known.notice
	known.notice = before.Join(n)
	if known.notice == before {
		return false
	}
	known.learned = now
	if m := r.byKey[n.Key]; m != nil {
		r.touched[m.key.Service] = true
	}
	return true
}

// step applies an event to a member and does the effects.
func (r *Registry) step(now time.Time, m *member, e statechart.Event, reason string) {
	next, effects, err := charts.Upstream.Step(m.state, e)
	if err != nil {
		r.events.Emit(event.Event{Code: event.ChartStepMissing, At: now, Service: m.key.Service,
			Upstream: m.key.Upstream, Reason: reason, Detail: err.Error()})
		return
	}
	m.state = next
	r.touched[m.key.Service] = true
	if next == stWarming {
		m.warmSince = now
		m.failures = 0
	}
	if effects.Has(doPublish) {
		r.changed = true
	}
	if effects.Has(doAnnounce) {
		r.announce = append(r.announce, r.notice(m.key))
	}
	if effects.Has(doReportDrained) {
		r.emit(now, event.UpstreamDrained, m, reason)
	}
}

func (r *Registry) emit(now time.Time, c event.Code, m *member, reason string) {
	r.events.Emit(event.Event{Code: c, At: now, Service: m.key.Service, Upstream: m.key.Upstream,
		Reason: reason, Value: int64(m.revision)})
}

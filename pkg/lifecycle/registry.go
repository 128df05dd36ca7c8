// Package lifecycle decides which upstreams accept new requests, and when an
// entry host that is shutting down may exit.
//
// Updates about an upstream arrive late, more than once and in any order: from
// documents, the platform's host list, the upstream's own refusals and peers.
// Each update states the document revision or activation that it applies to,
// and is joined with the existing state, never overwrites it. An upstream known
// to be leaving therefore stays so until a document with higher precedence
// reactivates it.
//
// The package does no I/O and reads no clock. Registry and Host must be used on
// the control goroutine only; a Snapshot is immutable.
package lifecycle

import (
	"maps"
	"time"

	"github.com/dapplespindle/dapplespindle/charts"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

// Config holds the limits and timeouts of a Registry.
type Config struct {
	// ConnectFailures is the number of consecutive connection failures after
	// which an upstream counts as unreachable.
	ConnectFailures int
	// UnreachableRetryDelay is the delay before an unreachable upstream is retried.
	UnreachableRetryDelay time.Duration
	// NoticeRetention is how long a notice about an upstream that is not
	// configured is stored.
	NoticeRetention time.Duration
	// MaxNotices is the maximum number of stored notices. At the limit, notices
	// about upstreams that are not configured are dropped and counted; none is
	// evicted.
	MaxNotices int
}

// DefaultConfig returns the limits for the target scale in docs/DEVELOPERS.md.
func DefaultConfig() Config {
	return Config{
		ConnectFailures:       3,
		UnreachableRetryDelay: 2 * time.Second,
		NoticeRetention:       time.Hour,
		MaxNotices:            4096,
	}
}

// UpstreamSpec is one upstream as the document of its service lists it.
type UpstreamSpec struct {
	// Upstream is its id.
	Upstream string
	// Draining is true when the operator requested that it accept no new requests.
	Draining bool
	// Activation counts how often the operator reactivated this upstream after
	// it had left on its own; it never decreases.
	Activation uint64
	// SlowStart is the time over which its weight ramps up; 0 disables slow start.
	SlowStart time.Duration
	// Evacuated is true while its failure domain is evacuated: it gets no new
	// requests although it is not leaving.
	Evacuated bool
}

// member is one configured upstream.
type member struct {
	key       UpstreamKey
	spec      UpstreamSpec
	revision  uint64
	state     statechart.State
	warmSince time.Time
	failures  int
	failedAt  time.Time
}

// storedNotice is a notice and the time of its last change.
type storedNotice struct {
	notice  Notice
	learned time.Time
}

// Registry holds the state of all upstreams as known to one entry host.
type Registry struct {
	conf           Config
	events         event.Sink
	services       map[string]map[string]*member // the members by service and upstream
	byKey          map[Key]*member
	notices        map[Key]*storedNotice
	revisions      map[string]uint64 // of each service's document
	pendingNotices []Notice
	changed        bool
	dirty          map[string]bool // services that changed since the last snapshot
	lastSnapshot   *Snapshot
	version        uint64
	dropped        uint64
}

// NewRegistry returns a registry without upstreams.
func NewRegistry(conf Config, events event.Sink) *Registry {
	return &Registry{
		conf:         conf,
		events:       events,
		services:     make(map[string]map[string]*member),
		dirty:        make(map[string]bool),
		lastSnapshot: new(Snapshot),
		byKey:        make(map[Key]*member),
		notices:      make(map[Key]*storedNotice),
		revisions:    make(map[string]uint64),
	}
}

// Changed reports whether Flush has a snapshot or notices to return.
func (r *Registry) Changed() bool { return r.changed || len(r.pendingNotices) > 0 }

// Flush returns what changed since the last call: a new snapshot, or nil if
// nothing in it changed, and the notices to send to peers immediately.
func (r *Registry) Flush() (*Snapshot, []Notice) {
	announce := r.pendingNotices
	r.pendingNotices = nil
	if !r.changed {
		return nil, announce
	}
	r.changed = false
	return r.snapshot(), announce
}

// snapshot rebuilds the services that changed and shares the others with the
// previous snapshot.
func (r *Registry) snapshot() *Snapshot {
	r.version++
	s := &Snapshot{Version: r.version, services: make(map[string]*serviceViews, len(r.services))}
	maps.Copy(s.services, r.lastSnapshot.services)
	for service := range r.dirty {
		if len(r.services[service]) == 0 {
			delete(s.services, service)
			continue
		}
		s.services[service] = r.views(service)
	}
	clear(r.dirty)
	r.lastSnapshot = s
	return s
}

func (r *Registry) views(service string) *serviceViews {
	members := r.services[service]
	out := &serviceViews{version: r.version, views: make(map[string]View, len(members))}
	for upstream, m := range members {
		out.views[upstream] = View{
			State:           charts.Upstream.StateName(m.state),
			AcceptsRequests: r.accepts(m) && !m.spec.Evacuated,
			Leaving:         m.state == stLeaving || m.state == stDrained,
			Unreachable:     m.state == stUnreachable,
			Activation:      m.spec.Activation,
			WarmSince:       m.warmSince,
			SlowStart:       m.spec.SlowStart,
		}
	}
	return out
}

// member returns a configured upstream, or nil.
func (r *Registry) member(k UpstreamKey) *member { return r.services[k.Service][k.Upstream] }

// addMember and removeMember keep the two indexes of the members, services and
// byKey, consistent.
func (r *Registry) addMember(m *member) {
	of := r.services[m.key.Service]
	if of == nil {
		of = make(map[string]*member)
		r.services[m.key.Service] = of
	}
	of[m.key.Upstream] = m
	r.byKey[KeyOf(m.key.Service, m.key.Upstream)] = m
}

func (r *Registry) removeMember(m *member) {
	of := r.services[m.key.Service]
	delete(of, m.key.Upstream)
	if len(of) == 0 {
		delete(r.services, m.key.Service)
	}
	delete(r.byKey, KeyOf(m.key.Service, m.key.Upstream))
}

// accepts reports whether an upstream accepts new requests: the current document
// lists it as active and takes precedence over the notice about it.
func (r *Registry) accepts(m *member) bool {
	return !m.spec.Draining && r.notice(m.key).allows(m.revision, m.spec.Activation)
}

func (r *Registry) notice(k UpstreamKey) Notice {
	key := KeyOf(k.Service, k.Upstream)
	if n := r.notices[key]; n != nil {
		return n.notice
	}
	return Notice{Key: key}
}

// Notices returns the notices about leaving upstreams to send to peers
// periodically. It omits notices that the current document takes precedence
// over: their upstream accepts requests again, and a peer that knows neither the
// notice nor the document does no harm by sending it some. A notice about an
// upstream that is not configured is sent for only half of its retention period,
// so that peers do not refresh it among each other indefinitely.
func (r *Registry) Notices(now time.Time) []Notice {
	var notices []Notice
	for key, n := range r.notices {
		if r.shouldRepeat(now, r.byKey[key], n) {
			notices = append(notices, n.notice)
		}
	}
	return notices
}

// shouldRepeat reports whether a notice about m is still sent to peers; m is nil
// for an upstream that is not configured.
func (r *Registry) shouldRepeat(now time.Time, m *member, n *storedNotice) bool {
	if m == nil {
		return now.Sub(n.learned) < r.conf.NoticeRetention/2
	}
	return m.spec.Draining || !n.notice.allows(m.revision, m.spec.Activation)
}

// Dropped returns the number of notices dropped because of MaxNotices.
func (r *Registry) Dropped() uint64 { return r.dropped }

// mergeNotice joins a notice with the stored one and reports whether that changed.
func (r *Registry) mergeNotice(now time.Time, n Notice) bool {
	known := r.notices[n.Key]
	if known == nil {
		if len(r.notices) >= r.conf.MaxNotices && r.byKey[n.Key] == nil {
			r.dropped++
			return false
		}
		known = &storedNotice{notice: Notice{Key: n.Key}}
		r.notices[n.Key] = known
	}
	before := known.notice
	known.notice = before.Join(n)
	if known.notice == before {
		return false
	}
	known.learned = now
	if m := r.byKey[n.Key]; m != nil {
		r.dirty[m.key.Service] = true
	}
	return true
}

// step applies an event to a member and carries out the effects.
func (r *Registry) step(now time.Time, m *member, e statechart.Event, reason string) {
	next, effects, err := charts.Upstream.Step(m.state, e)
	if err != nil {
		r.events.Emit(event.Event{Code: event.ChartStepMissing, At: now, Service: m.key.Service,
			Upstream: m.key.Upstream, Reason: reason, Detail: err.Error()})
		return
	}
	m.state = next
	r.dirty[m.key.Service] = true
	if next == stWarming {
		m.warmSince = now
		m.failures = 0
	}
	if effects.Has(doPublish) {
		r.changed = true
	}
	if effects.Has(doAnnounce) {
		r.pendingNotices = append(r.pendingNotices, r.notice(m.key))
	}
	if effects.Has(doReportDrained) {
		r.emit(now, event.UpstreamDrained, m, reason)
	}
}

func (r *Registry) emit(now time.Time, c event.Code, m *member, reason string) {
	r.events.Emit(event.Event{Code: c, At: now, Service: m.key.Service, Upstream: m.key.Upstream,
		Reason: reason, Value: int64(m.revision)})
}

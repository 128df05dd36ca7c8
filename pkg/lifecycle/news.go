package lifecycle

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// The sources of news, as the events name them.
const (
	fromDocument = "document"
	fromHostList = "host-list"
	fromUpstream = "upstream-refusal"
	fromPeer     = "peer"
	fromConnect  = "connect-failed"
	fromTimer    = "timer"
)

// Configure takes in the document of a service: the whole list of its
// upstreams, nil when the service was deleted. A document that is not newer
// than the last one is ignored, and Configure reports false.
func (r *Registry) Configure(now time.Time, service string, revision uint64, listings []UpstreamSpec) bool {
	last, known := r.revisions[service]
	if known && revision <= last {
		return false
	}
	r.revisions[service] = revision
	r.changed = true
	r.touched[service] = true
	listed := make(map[string]bool, len(listings))
	for _, l := range listings {
		listed[l.Upstream] = true
		r.list(now, UpstreamKey{service, l.Upstream}, revision, l, !known)
	}
	for upstream, m := range r.services[service] {
		if !listed[upstream] {
			r.remove(now, m, revision)
		}
	}
	return true
}

// list takes in one entry of a document. Upstreams of the first document that
// a process sees are taken to be warm.
func (r *Registry) list(now time.Time, k UpstreamKey, revision uint64, l UpstreamSpec, first bool) {
	m := r.member(k)
	isNew := m == nil
	if isNew {
		m = &member{key: k, warmSince: now, state: stWarming}
		r.add(m)
	}
	if l.Activation > m.listing.Activation && !isNew {
		r.revive(now, m)
	}
	m.revision = revision
	m.listing = l
	if isNew && (first || l.SlowStart == 0) {
		m.warmSince = now.Add(-l.SlowStart)
		r.step(now, m, evWarm, fromDocument)
	}
	if l.Draining {
		r.learn(now, Notice{Key: KeyOf(k.Service, k.Upstream), DrainRevision: revision})
	}
	r.settle(now, m, fromDocument)
}

// revive forgets what an earlier activation could not be reached for.
func (r *Registry) revive(now time.Time, m *member) {
	m.failures = 0
	if m.state == stUnreachable {
		r.step(now, m, evReached, fromDocument)
	}
}

func (r *Registry) remove(now time.Time, m *member, revision uint64) {
	key := KeyOf(m.key.Service, m.key.Upstream)
	r.learn(now, Notice{Key: key, DrainRevision: revision})
	r.step(now, m, evRemove, fromDocument)
	r.announce = append(r.announce, r.notice(m.key))
	r.drop(m)
	r.emit(now, event.UpstreamRemoved, m, fromDocument)
}

// settle moves a member to or out of leaving, by the rule of takes.
func (r *Registry) settle(now time.Time, m *member, reason string) {
	gone := m.state == stLeaving || m.state == stDrained
	takes := r.takes(m)
	switch {
	case gone && takes:
		r.step(now, m, evActivate, reason)
		r.emit(now, event.UpstreamRevived, m, reason)
	case !gone && !takes:
		r.step(now, m, evLeave, reason)
		r.emit(now, event.UpstreamLeaving, m, reason)
	case gone && reason == fromDocument && !m.listing.Draining:
		r.emit(now, event.UpstreamNotRevived, m, "activation-not-raised")
	}
}

// Refused takes in an upstream's own notice that it is leaving, for every
// service that lists it. Activation is
// the one that the request was sent under, from its View; a late answer to a
// request of an earlier activation changes nothing.
func (r *Registry) Refused(now time.Time, k UpstreamKey, activation uint64) {
	r.left(now, k, activation, fromUpstream)
	if m := r.member(k); m == nil || m.listing.Activation != activation {
		return
	}
	for service, members := range r.services {
		if m := members[k.Upstream]; m != nil && service != k.Service {
			r.left(now, m.key, m.listing.Activation, fromUpstream)
		}
	}
}

// HostLeaving takes in an upstream that the platform's list calls leaving.
// The list has no order against documents, so the notice is about the
// activation in force.
func (r *Registry) HostLeaving(now time.Time, k UpstreamKey) {
	if m := r.member(k); m != nil {
		r.left(now, k, m.listing.Activation, fromHostList)
	}
}

func (r *Registry) left(now time.Time, k UpstreamKey, activation uint64, source string) {
	key := KeyOf(k.Service, k.Upstream)
	if r.learn(now, Notice{Key: key, MinActivation: activation + 1}) {
		r.afterNotice(now, key, source)
	}
}

// Merge takes in a peer's notice. It reports whether anything was new.
func (r *Registry) Merge(now time.Time, n Notice) bool {
	if !r.learn(now, n) {
		return false
	}
	r.afterNotice(now, n.Key, fromPeer)
	return true
}

func (r *Registry) afterNotice(now time.Time, key Key, source string) {
	if m := r.byKey[key]; m != nil {
		r.settle(now, m, source)
	}
}

// ConnectFailed takes in a connection that could not be made. It is advice of
// this host alone and is not told to peers.
func (r *Registry) ConnectFailed(now time.Time, k UpstreamKey) {
	m := r.member(k)
	if m == nil || (m.state != stWarming && m.state != stServing) {
		return
	}
	m.failures++
	m.failedAt = now
	if m.failures >= r.conf.ConnectFailures {
		r.step(now, m, evConnectFailed, fromConnect)
		r.emit(now, event.UpstreamUnreachable, m, fromConnect)
	}
}

// ConnectSucceeded takes in a connection or a probe that succeeded.
func (r *Registry) ConnectSucceeded(now time.Time, k UpstreamKey) {
	m := r.member(k)
	if m == nil {
		return
	}
	m.failures = 0
	if m.state == stUnreachable {
		r.step(now, m, evReached, fromConnect)
	}
}

// Leaving returns the ids of the upstreams that are leaving, by service: those
// that InFlight matters for.
func (r *Registry) Leaving() map[string][]string {
	out := make(map[string][]string)
	for service, members := range r.services {
		for upstream, m := range members {
			if m.state == stLeaving {
				out[service] = append(out[service], upstream)
			}
		}
	}
	return out
}

// InFlight takes in the number of requests that this host has in flight at an
// upstream; it matters only while the upstream is leaving.
func (r *Registry) InFlight(now time.Time, k UpstreamKey, n int64) {
	m := r.member(k)
	if m != nil && n == 0 && m.state == stLeaving {
		r.step(now, m, evIdle, fromTimer)
	}
}

// Tick does what is due at a time: ends slow starts, tries unreachable
// upstreams again and forgets old notices. Once a second is enough.
func (r *Registry) Tick(now time.Time) {
	for _, members := range r.services {
		for _, m := range members {
			r.tick(now, m)
		}
	}
	for key, n := range r.notices {
		if r.byKey[key] == nil && now.Sub(n.learned) >= r.conf.NoticeRetention {
			delete(r.notices, key)
		}
	}
}

func (r *Registry) tick(now time.Time, m *member) {
	switch {
	case m.state == stWarming && now.Sub(m.warmSince) >= m.listing.SlowStart:
		r.step(now, m, evWarm, fromTimer)
	case m.state == stUnreachable && now.Sub(m.failedAt) >= r.conf.UnreachablePause:
		r.step(now, m, evReached, fromTimer)
	}
}

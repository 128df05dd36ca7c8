package lifecycle

import (
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// The sources of updates, as they appear in the reason of events.
const (
	fromDocument = "document"
	fromHostList = "host-list"
	fromUpstream = "upstream-refusal"
	fromPeer     = "peer"
	fromConnect  = "connect-failed"
	fromTimer    = "timer"
)

// Configure applies the document of a service: the complete list of its
// upstreams, nil when the service was deleted. A document that is not newer
// than the last one is ignored, and Configure reports false.
func (r *Registry) Configure(now time.Time, service string, revision uint64, specs []UpstreamSpec) bool {
	last, known := r.revisions[service]
	if known && revision <= last {
		return false
	}
	r.revisions[service] = revision
	r.changed = true
	r.dirty[service] = true
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.Upstream] = true
		r.configureUpstream(now, UpstreamKey{service, spec.Upstream}, revision, spec, !known)
	}
	for upstream, m := range r.services[service] {
		if !listed[upstream] {
			r.remove(now, m, revision)
		}
	}
	return true
}

// configureUpstream applies one entry of a document. Upstreams of the first
// document that a process reads are assumed to be warm.
func (r *Registry) configureUpstream(now time.Time, k UpstreamKey, revision uint64, spec UpstreamSpec, first bool) {
	m := r.member(k)
	isNew := m == nil
	if isNew {
		m = &member{key: k, warmSince: now, state: stWarming}
		r.addMember(m)
	}
	if spec.Activation > m.spec.Activation && !isNew {
		r.resetReachability(now, m)
	}
	m.revision = revision
	m.spec = spec
	if isNew && (first || spec.SlowStart == 0) {
		m.warmSince = now.Add(-spec.SlowStart)
		r.step(now, m, evWarm, fromDocument)
	}
	if spec.Draining {
		r.mergeNotice(now, Notice{Key: KeyOf(k.Service, k.Upstream), DrainRevision: revision})
	}
	r.reconcile(now, m, fromDocument)
}

// resetReachability clears the connection failures of an earlier activation.
func (r *Registry) resetReachability(now time.Time, m *member) {
	m.failures = 0
	if m.state == stUnreachable {
		r.step(now, m, evReached, fromDocument)
	}
}

func (r *Registry) remove(now time.Time, m *member, revision uint64) {
	key := KeyOf(m.key.Service, m.key.Upstream)
	r.mergeNotice(now, Notice{Key: key, DrainRevision: revision})
	r.step(now, m, evRemove, fromDocument)
	r.pendingNotices = append(r.pendingNotices, r.notice(m.key))
	r.removeMember(m)
	r.emit(now, event.UpstreamRemoved, m, fromDocument)
}

// reconcile moves a member into or out of the leaving state, as accepts decides.
func (r *Registry) reconcile(now time.Time, m *member, reason string) {
	leaving := m.state == stLeaving || m.state == stDrained
	accepts := r.accepts(m)
	switch {
	case leaving && accepts:
		r.step(now, m, evActivate, reason)
		r.emit(now, event.UpstreamRevived, m, reason)
	case !leaving && !accepts:
		r.step(now, m, evLeave, reason)
		r.emit(now, event.UpstreamLeaving, m, reason)
	case leaving && reason == fromDocument && !m.spec.Draining:
		r.emit(now, event.UpstreamNotRevived, m, "activation-not-raised")
	}
}

// RecordLeaving records an upstream's own announcement that it is leaving, for
// every service that lists it. Activation is the one that the request was sent
// under, from its View; a late response to a request of an earlier activation has
// no effect.
func (r *Registry) RecordLeaving(now time.Time, k UpstreamKey, activation uint64) {
	r.recordLeft(now, k, activation, fromUpstream)
	if m := r.member(k); m == nil || m.spec.Activation != activation {
		return
	}
	for service, members := range r.services {
		if m := members[k.Upstream]; m != nil && service != k.Service {
			r.recordLeft(now, m.key, m.spec.Activation, fromUpstream)
		}
	}
}

// ListedLeaving records that the platform's host list marks an upstream as
// leaving. The list is not ordered relative to documents, so the notice applies
// to the current activation.
func (r *Registry) ListedLeaving(now time.Time, k UpstreamKey) {
	if m := r.member(k); m != nil {
		r.recordLeft(now, k, m.spec.Activation, fromHostList)
	}
}

func (r *Registry) recordLeft(now time.Time, k UpstreamKey, activation uint64, source string) {
	key := KeyOf(k.Service, k.Upstream)
	if r.mergeNotice(now, Notice{Key: key, MinActivation: activation + 1}) {
		r.noticeChanged(now, key, source)
	}
}

// Merge joins a peer's notice and reports whether it contained anything new.
func (r *Registry) Merge(now time.Time, n Notice) bool {
	if !r.mergeNotice(now, n) {
		return false
	}
	r.noticeChanged(now, n.Key, fromPeer)
	return true
}

func (r *Registry) noticeChanged(now time.Time, key Key, source string) {
	if m := r.byKey[key]; m != nil {
		r.reconcile(now, m, source)
	}
}

// ConnectFailed records a failed connection attempt. The result is a local
// hint and is not sent to peers.
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

// ConnectSucceeded records a successful connection or probe.
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
// for which InFlight has an effect.
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

// InFlight records the number of requests that this host has in flight to an
// upstream. It has an effect only while the upstream is leaving.
func (r *Registry) InFlight(now time.Time, k UpstreamKey, n int64) {
	m := r.member(k)
	if m != nil && n == 0 && m.state == stLeaving {
		r.step(now, m, evIdle, fromTimer)
	}
}

// Tick runs the work that is due: it ends slow starts, retries unreachable
// upstreams and removes expired notices. Calling it once a second is enough.
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
	case m.state == stWarming && now.Sub(m.warmSince) >= m.spec.SlowStart:
		r.step(now, m, evWarm, fromTimer)
	case m.state == stUnreachable && now.Sub(m.failedAt) >= r.conf.UnreachableRetryDelay:
		r.step(now, m, evReached, fromTimer)
	}
}

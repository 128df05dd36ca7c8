package lifecycle

import "time"

// implementation is what TestNewsInAnyOrder drives: the Registry or a deliberately
// wrong variant.
type implementation interface {
	document(revision uint64, listed, draining bool, activation uint64)
	refused(activation uint64)
	notice() Notice
	peer(Notice)
	accepts() bool
}

var testMember = UpstreamKey{"lots", "u"}

// registryImpl adapts a Registry.
type registryImpl struct{ *Registry }

func (p registryImpl) document(revision uint64, listed, draining bool, activation uint64) {
	var list []UpstreamSpec
	if listed {
		list = []UpstreamSpec{{Upstream: testMember.Upstream, Draining: draining, Activation: activation}}
	}
	p.Configure(time.Unix(1000, 0), testMember.Service, revision, list)
}

func (p registryImpl) refused(activation uint64) {
	p.RecordLeaving(time.Unix(1000, 0), testMember, activation)
}

func (p registryImpl) notice() Notice { return p.Registry.notice(testMember) }

func (p registryImpl) peer(w Notice) { p.Merge(time.Unix(1000, 0), w) }

func (p registryImpl) accepts() bool { return p.snapshot().AcceptsRequests(testMember) }

// lastUpdateWins applies updates in order of arrival: the last one wins.
type lastUpdateWins struct{ active bool }

func (l *lastUpdateWins) document(_ uint64, listed, draining bool, _ uint64) {
	l.active = listed && !draining
}

func (l *lastUpdateWins) refused(uint64) { l.active = false }

func (l *lastUpdateWins) notice() Notice {
	if l.active {
		return Notice{}
	}
	return Notice{MinActivation: 1}
}

func (l *lastUpdateWins) peer(w Notice) { l.active = w.MinActivation == 0 }

func (l *lastUpdateWins) accepts() bool { return l.active }

// byRevision orders all updates by the revision of the document that was current
// at their origin, so that any newer document reactivates an upstream.
type byRevision struct {
	revision uint64
	listed   bool
	left     uint64
}

func (b *byRevision) document(revision uint64, listed, draining bool, _ uint64) {
	if revision <= b.revision {
		return
	}
	b.revision = revision
	b.listed = listed
	if draining || !listed {
		b.left = max(b.left, revision)
	}
}

func (b *byRevision) refused(uint64) { b.left = max(b.left, b.revision) }

func (b *byRevision) notice() Notice { return Notice{DrainRevision: b.left} }

func (b *byRevision) peer(w Notice) { b.left = max(b.left, w.DrainRevision) }

func (b *byRevision) accepts() bool { return b.listed && b.revision > b.left }

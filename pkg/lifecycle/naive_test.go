package lifecycle

import "time"

// view is what the news test drives: the product's registry, or a variant.
type view interface {
	document(revision uint64, listed, draining bool, activation uint64)
	refused(activation uint64)
	notice() Notice
	peer(Notice)
	takes() bool
}

var testMember = UpstreamKey{"lots", "u"}

// product drives a Registry.
type product struct{ *Registry }

func (p product) document(revision uint64, listed, draining bool, activation uint64) {
	var list []UpstreamSpec
	if listed {
		list = []UpstreamSpec{{Upstream: testMember.Upstream, Draining: draining, Activation: activation}}
	}
	p.Configure(time.Unix(1000, 0), testMember.Service, revision, list)
}

func (p product) refused(activation uint64) {
	p.Refused(time.Unix(1000, 0), testMember, activation)
}

func (p product) notice() Notice { return p.Registry.notice(testMember) }

func (p product) peer(w Notice) { p.Merge(time.Unix(1000, 0), w) }

func (p product) takes() bool { return p.snapshot().AcceptsRequests(testMember) }

// lastWins believes whatever it heard last.
type lastWins struct{ active bool }

func (l *lastWins) document(_ uint64, listed, draining bool, _ uint64) {
	l.active = listed && !draining
}

func (l *lastWins) refused(uint64) { l.active = false }

func (l *lastWins) notice() Notice {
	if l.active {
		return Notice{}
	}
	return Notice{MinActivation: 1}
}

func (l *lastWins) peer(w Notice) { l.active = w.MinActivation == 0 }

func (l *lastWins) takes() bool { return l.active }

// byRevision orders all news by the revision of the document in force where
// the news arose, so that any newer document revives an upstream.
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

func (b *byRevision) takes() bool { return b.listed && b.revision > b.left }

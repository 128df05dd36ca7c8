package proxy

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// Upstreams is what the entry host knows of upstreams, and what it learns of
// them from sends. Its methods are called by traffic goroutines; they must not
// block.
type Upstreams interface {
	// Snapshot returns the newest lifecycle of all upstreams, never nil.
	Snapshot() *lifecycle.Snapshot
	// Leaving takes in an upstream's own word that it is leaving. Activation is
	// the one that the request was sent under.
	Leaving(k lifecycle.UpstreamKey, activation uint64)
	// ConnectFailed takes in a connection that could not be made.
	ConnectFailed(k lifecycle.UpstreamKey)
	// ConnectSucceeded takes in an answer of an upstream that counted as unreachable.
	ConnectSucceeded(k lifecycle.UpstreamKey)
	// BackingOff takes in that an upstream wants nothing from this host until a time.
	BackingOff(u *balancer.Upstream, until time.Time)
	// LimitChanged takes in that an answer to this host has changed what is known of the limit
	// of an upstream.
	LimitChanged(u *balancer.Upstream)
	// Reported takes in that an answer of the server at an address carried a
	// load report.
	Reported(address string, now time.Time)
	// Resuming reports whether this process was paused and has not yet caught up
	// with its peers.
	Resuming() bool
}

const wakingDetail = "waking from a pause"

// WithUpstreams checks each send against u and reports to it.
func WithUpstreams(u Upstreams) Option { return func(p *Proxy) { p.upstreams = u } }

func (x *exchange) upstreamKey(b binding) lifecycle.UpstreamKey {
	return lifecycle.UpstreamKey{Service: x.state.group.owner, Upstream: b.upstream.ID}
}

// mayStillSend is the last check before a send: the upstream may have left
// since it was chosen, or since this process was paused.
func (x *exchange) mayStillSend(b binding) *errkind.Error {
	u := x.proxy.upstreams
	if u == nil {
		return nil
	}
	if u.Resuming() {
		return errkind.New(errkind.NotReady, wakingDetail)
	}
	switch u.Snapshot().CheckSend(x.upstreamKey(b), b.lifecycle) {
	case lifecycle.Send:
		return nil
	case lifecycle.ChooseAgain:
		x.emit(event.Event{Code: event.UpstreamLeftInTime, Upstream: b.upstream.ID, Attempt: b.number})
	default:
		x.emit(event.Event{Code: event.SentToLeaving, Upstream: b.upstream.ID, Attempt: b.number})
	}
	return errkind.New(errkind.UpstreamRefused, b.upstream.ID+" left after it was chosen")
}

// report tells what a send taught about the lifecycle of its upstream.
func (x *exchange) report(b binding, resp *httpwire.Response, err *errkind.Error) {
	u := x.proxy.upstreams
	if u == nil {
		return
	}
	key := x.upstreamKey(b)
	if err != nil {
		if err.Kind == errkind.ConnectFailed {
			u.ConnectFailed(key)
		}
		return
	}
	if b.view.Unreachable {
		u.ConnectSucceeded(key)
	}
	if leaving := x.proxy.dialect.Leaving; leaving != nil && leaving(resp.Status, resp.Header) {
		u.Leaving(key, b.view.Activation)
	}
	if x.proxy.dialect.Load(resp.Header).Valid {
		u.Reported(b.upstream.Address, clock.Now())
	}
}

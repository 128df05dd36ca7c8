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

// Upstreams provides what the entry host knows about upstreams and records what it learns
// about them from attempts. Its methods are called on the goroutines that serve requests and
// must not block.
type Upstreams interface {
	// Snapshot returns the latest lifecycle snapshot of all upstreams, never nil.
	Snapshot() *lifecycle.Snapshot
	// Leaving records that an upstream declared that it is leaving. Activation is the one
	// under which the request was sent.
	Leaving(k lifecycle.UpstreamKey, activation uint64)
	// ConnectFailed records that a connection could not be established.
	ConnectFailed(k lifecycle.UpstreamKey)
	// ConnectSucceeded records a response of an upstream that was marked unreachable.
	ConnectSucceeded(k lifecycle.UpstreamKey)
	// BackingOff records that an upstream wants no requests from this host until a time.
	BackingOff(u *balancer.Upstream, until time.Time)
	// LimitChanged records that a response to this host has changed the known limit of an
	// upstream.
	LimitChanged(u *balancer.Upstream)
	// Reported records that a response of the server at an address carried a load report.
	Reported(address string, now time.Time)
	// Resuming reports whether this process was paused and has not yet caught up with its
	// peers.
	Resuming() bool
}

const resumingDetail = "waking from a pause"

// WithUpstreams checks each send against u and reports to it.
func WithUpstreams(u Upstreams) Option { return func(p *Proxy) { p.upstreams = u } }

func (x *exchange) upstreamKey(b binding) lifecycle.UpstreamKey {
	return lifecycle.UpstreamKey{Service: x.state.group.serviceName, Upstream: b.upstream.ID}
}

// checkLifecycle checks right before an attempt that the upstream has not left since it was
// picked, and that this process has caught up if it was paused.
func (x *exchange) checkLifecycle(b binding) *errkind.Error {
	u := x.proxy.upstreams
	if u == nil {
		return nil
	}
	if u.Resuming() {
		return errkind.New(errkind.NotReady, resumingDetail)
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

// reportLifecycle reports what an attempt shows about the lifecycle of its upstream.
func (x *exchange) reportLifecycle(b binding, resp *httpwire.Response, err *errkind.Error) {
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

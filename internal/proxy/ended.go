package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// Listeners is what a Sender may be besides: it tells an upstream that ended from one
// that only closed a connection.
type Listeners interface {
	// Refuses reports whether connections to address are refused, so that no process
	// listens there. Silence says nothing.
	Refuses(ctx context.Context, address string) bool
}

// examineTimeout bounds finding out whether an upstream ended. Round trips are below
// 10 ms; a host that is down says nothing, which proves nothing of the request.
const examineTimeout = 250 * time.Millisecond

// examine finds out, beside the request, whether its upstream ended while it ran it.
func (x *exchange) examine(ctx context.Context, b binding, start time.Time, err *errkind.Error) {
	if err == nil || err.Kind != errkind.UpstreamBroken || ctx.Err() != nil || x.proxy.listeners == nil {
		return
	}
	ended := time.Now()
	request := x.fingerprint()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), examineTimeout)
		defer cancel()
		if x.proxy.listeners.Refuses(ctx, b.upstream.Address) {
			x.upstreamEnded(b, request, start, ended)
		}
	}()
}

// upstreamEnded reports an end. The request has usually been answered by then, so that
// the event is not one of its own.
func (x *exchange) upstreamEnded(b binding, request poison.Fingerprint, start, ended time.Time) {
	x.proxy.events.Emit(event.Event{
		Code:      event.UpstreamEnded,
		At:        ended,
		EntryHost: x.proxy.host,
		Service:   x.rule.Service.Name,
		Rule:      x.rule.Config.Name,
		Upstream:  b.upstream.ID,
		Detail:    "request " + x.id + " is " + request.String(),
		Value:     ended.Sub(start).Microseconds(),
	})
}

// fingerprint names the request by what it asks for, and the caller by its IP.
func (x *exchange) fingerprint() poison.Fingerprint {
	return poison.Of(x.req.Method, x.req.Host, x.req.Target, x.req.Body, callerIP(x.req.RemoteAddr))
}

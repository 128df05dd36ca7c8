package proxy

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// This file enforces the rate limits that overloaded upstreams announce. A limit applies to
// all hosts together, and the load of a single host is usually below it: 18 hosts that each
// sent 0.3 requests per second to an upstream with a limit of 1.2 sent it five. So a host
// can't rely on its own rate. Each host has its own time slots, and without a free time slot
// it makes no attempt of any kind at the upstream.

// ObserveLimit applies the limit in a response that arrived at now, to a request or probe
// that was sent at sent. It returns an event and true if the limit changed or is invalid.
func (d *Dialect) ObserveLimit(u *balancer.Upstream, now, sent time.Time, resp *httpwire.Response, from ratelimit.Source) (event.Event, bool) {
	if d.Limit == nil {
		return event.Event{}, false
	}
	limit, err := d.Limit(resp.Status, resp.Header)
	if err != nil {
		return event.Event{Code: event.LimitUnreadable, Upstream: u.ID, Reason: from.String(), Detail: err.Error()}, true
	}
	return LimitEvent(u.ID, limit, from), u.Limit.Observe(now, sent, limit, from)
}

// LimitEvent returns the event for a change of an upstream's limit.
func LimitEvent(upstream string, w ratelimit.Limit, from ratelimit.Source) event.Event {
	const eventSeconds = 1000 // the event's value is in requests per 1000 s
	if w.Kind != ratelimit.Limited {
		return event.Event{Code: event.LimitEnded, Upstream: upstream, Reason: from.String()}
	}
	return event.Event{Code: event.LimitNamed, Upstream: upstream, Reason: from.String(), Value: int64(w.PerSecond * eventSeconds)}
}

// recordLimit applies the limit in a response.
func (x *exchange) recordLimit(b binding, sent time.Time, resp *httpwire.Response) {
	if resp == nil {
		return
	}
	e, changed := x.proxy.dialect.ObserveLimit(b.upstream, clock.Now(), sent, resp, ratelimit.Answer)
	if !changed {
		return
	}
	// Not emitted through the exchange: the event is about the state of this host, and most
	// lines of requests are not logged.
	e.At, e.EntryHost, e.Service = time.Now(), x.proxy.host, x.rule.Service.Name
	x.proxy.events.Emit(e)
	if x.proxy.upstreams != nil && e.Code != event.LimitUnreadable {
		x.proxy.upstreams.LimitChanged(b.upstream)
	}
}

// pickUnconfirmed picks an upstream whose limit may have ended, for a policy that does not
// query upstreams for their load. Such an upstream is otherwise picked only when a request
// coincides with a time slot of this host, and nothing else shows that it accepts more
// again.
func (x *exchange) pickUnconfirmed(group *routing.Group, info balancer.PickInfo) (balancer.Result, bool) {
	if info.Hedge || info.FinalAttempt || x.queriesLoad(group) {
		return balancer.Result{}, false
	}
	for _, u := range group.Upstreams {
		if u.Limit.Unconfirmed(info.Now) && !info.Excludes(u) && !u.Cold.IsCold(info.Now) && u.Limit.Take(info.Now) && u.Backoff.Try(info.Now) {
			return balancer.Result{Upstream: u, Reason: "limit-unconfirmed"}, true
		}
	}
	return balancer.Result{}, false
}

// SlotBorrower borrows time slots at upstreams from other hosts.
type SlotBorrower interface {
	// Borrow asks a host, by its position in the slot order, for a time slot at an upstream.
	// It reports whether the host has lent one, and returns within some tens of
	// milliseconds.
	Borrow(ctx context.Context, host int, server ratelimit.Server) bool
}

// WithSlotBorrower borrows time slots through l when no upstream is available to this host.
func WithSlotBorrower(l SlotBorrower) Option { return func(p *Proxy) { p.slotBorrower = l } }

// maxBorrowAttempts is the number of hosts that are asked for a time slot for one request.
// When callers send twice what all upstreams of a service accept, two attempts use 0.95 to
// 1.00 of the accepted rate, one attempt 0.86 to 1.00, and none 0.01 to 1.00: the less, the
// more hosts there are and the more uneven their load is.
const maxBorrowAttempts = 2

// borrowTimeSlot picks an upstream at which another host lends its time slot.
func (x *exchange) borrowTimeSlot(ctx context.Context, group *routing.Group, info balancer.PickInfo) (balancer.Result, bool) {
	if x.proxy.slotBorrower == nil || info.Hedge {
		return balancer.Result{}, false
	}
	for x.borrowAttempts < maxBorrowAttempts {
		x.borrowAttempts++
		u := x.borrowable(group, info)
		if u == nil {
			return balancer.Result{}, false
		}
		host, ok := u.Limit.Lender(info.Now, x.proxy.random())
		if ok && x.proxy.slotBorrower.Borrow(ctx, host, u.Limit.Server()) && u.Backoff.Try(clock.Now()) {
			x.state.group.retrySchedule.RecordBorrowed(clock.Now())
			return balancer.Result{Upstream: u, Reason: "borrowed-turn"}, true
		}
	}
	return balancer.Result{}, false
}

// borrowable returns a random upstream that is unavailable only because this host has no
// time slot there, or nil if there is none.
func (x *exchange) borrowable(group *routing.Group, info balancer.PickInfo) *balancer.Upstream {
	n := uint64(len(group.Upstreams))
	first := x.proxy.random()
	for i := range n {
		u := group.Upstreams[(first%n+i)%n]
		if u.Limit.Limited() && u.Backoff.Open(info.Now, info.FinalAttempt) && !u.Cold.IsCold(info.Now) && !slices.Contains(info.Exclude, u) {
			return u
		}
	}
	return nil
}

// limitedRate returns how many requests per second this host may send to the group's
// upstreams if all that are not backing off announce a limit, and infinity otherwise.
func (x *exchange) limitedRate() float64 {
	now := clock.Now()
	perSecond := 0.0
	for _, u := range x.state.group.current.Load().Upstreams {
		switch {
		case u.Limit.Limited():
			perSecond += u.Limit.HostRate()
		case u.Backoff.Delay(now) == 0:
			return math.Inf(1)
		}
	}
	if perSecond == 0 {
		return math.Inf(1) // all are backing off, or there are none
	}
	return perSecond
}

// tooManyWaiting reports whether too many requests wait before this one for it to get a
// time slot in time.
func (x *exchange) tooManyWaiting() bool {
	perSecond := x.limitedRate()
	if math.IsInf(perSecond, 1) {
		return false
	}
	ahead := float64(x.state.group.pending.Load())
	wait := x.sendDelay() + seconds(ahead/perSecond)
	return wait+x.expectedLatency() > clock.Until(x.usefulUntil())
}

// maxSeconds bounds a duration that is computed from a rate.
const maxSeconds = 3600

// seconds converts a number of seconds, which may be infinite or NaN, to a duration.
func seconds(n float64) time.Duration {
	if !(n < maxSeconds) {
		n = maxSeconds
	}
	return time.Duration(n * float64(time.Second))
}

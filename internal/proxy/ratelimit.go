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

// This file keeps to the limits that upstreams in need name. A limit is for all hosts
// together, and one host's part of the load is below it as a rule: of 18 hosts, each sent
// an upstream that takes 1.2 requests a second 0.3, and it got five. So no host may go by
// what it sends itself: each has its turns, and a turn that is not there closes the upstream
// to every kind of send.

// ObserveLimit takes in what an answer that came now says of the limit of its upstream; the
// request, or the probe, was sent at a time. It returns an event if that is news, or can't
// be read.
func (d *Dialect) ObserveLimit(u *balancer.Upstream, now, sent time.Time, resp *httpwire.Response, from ratelimit.Source) (event.Event, bool) {
	if d.Limit == nil {
		return event.Event{}, false
	}
	word, err := d.Limit(resp.Status, resp.Header)
	if err != nil {
		return event.Event{Code: event.LimitUnreadable, Upstream: u.ID, Reason: from.String(), Detail: err.Error()}, true
	}
	return LimitEvent(u.ID, word, from), u.Limit.Observe(now, sent, word, from)
}

// LimitEvent says what is now known of an upstream's limit.
func LimitEvent(upstream string, w ratelimit.Limit, from ratelimit.Source) event.Event {
	const perEvent = 1000 // seconds
	if w.Kind != ratelimit.Limited {
		return event.Event{Code: event.LimitEnded, Upstream: upstream, Reason: from.String()}
	}
	return event.Event{Code: event.LimitNamed, Upstream: upstream, Reason: from.String(), Value: int64(w.PerSecond * perEvent)}
}

// limited takes in what an answer says of the upstream's limit.
func (x *exchange) limited(b binding, sent time.Time, resp *httpwire.Response) {
	if resp == nil {
		return
	}
	e, news := x.proxy.dialect.ObserveLimit(b.upstream, clock.Now(), sent, resp, ratelimit.Answer)
	if !news {
		return
	}
	// Not in the name of the request, most of whose lines are not written: it is about what
	// this host knows.
	e.At, e.EntryHost, e.Service = time.Now(), x.proxy.host, x.rule.Service.Name
	x.proxy.events.Emit(e)
	if x.proxy.upstreams != nil && e.Code != event.LimitUnreadable {
		x.proxy.upstreams.LimitChanged(b.upstream)
	}
}

// confirm chooses an upstream whose limit may be over, for a policy that does not ask
// upstreams for their load first: such an upstream is chosen as seldom as this host has a
// turn there when a request comes, and nothing else tells that it takes more again.
func (x *exchange) confirm(group *routing.Group, info balancer.PickInfo) (balancer.Result, bool) {
	if info.Hedge || info.FinalAttempt || x.asks(group) {
		return balancer.Result{}, false
	}
	for _, u := range group.Upstreams {
		if u.Limit.Unconfirmed(info.Now) && !info.Excludes(u) && !u.Cold.IsCold(info.Now) && u.Limit.Take(info.Now) && u.Backoff.Try(info.Now) {
			return balancer.Result{Upstream: u, Reason: "limit-unconfirmed"}, true
		}
	}
	return balancer.Result{}, false
}

// SlotBorrower asks other hosts for their turns at upstreams.
type SlotBorrower interface {
	// Borrow asks a host, by its number in the order of turns, for a turn at an upstream. It
	// reports whether the host has lent one, and returns within some tens of milliseconds.
	Borrow(ctx context.Context, host int, server ratelimit.Server) bool
}

// WithLenders borrows turns through l where no upstream is open to this host.
func WithLenders(l SlotBorrower) Option { return func(p *Proxy) { p.lenders = l } }

// maxLenders is how many hosts are asked for a turn for one request. Where callers ask for
// twice as much as all upstreams of a service take, two find 0.95 to 1.00 of what they take,
// one 0.86 to 1.00, and without asking it is 0.01 to 1.00: the less, the more hosts there
// are and the more unequal their loads.
const maxLenders = 2

// borrow chooses an upstream at which another host lends its turn.
func (x *exchange) borrow(ctx context.Context, group *routing.Group, info balancer.PickInfo) (balancer.Result, bool) {
	if x.proxy.lenders == nil || info.Hedge {
		return balancer.Result{}, false
	}
	for x.asked < maxLenders {
		x.asked++
		u := x.lendable(group, info)
		if u == nil {
			return balancer.Result{}, false
		}
		host, ok := u.Limit.Lender(info.Now, x.proxy.random())
		if ok && x.proxy.lenders.Borrow(ctx, host, u.Limit.Server()) && u.Backoff.Try(clock.Now()) {
			x.state.group.turns.RecordBorrowed(clock.Now())
			return balancer.Result{Upstream: u, Reason: "borrowed-turn"}, true
		}
	}
	return balancer.Result{}, false
}

// lendable returns a random upstream that is shut for want of a turn alone; nil if there is
// none.
func (x *exchange) lendable(group *routing.Group, info balancer.PickInfo) *balancer.Upstream {
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

// turns returns how many requests a second this host may send to the group's upstreams, if
// those that do not rest all name a limit; infinite else.
func (x *exchange) turns() float64 {
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
		return math.Inf(1) // all rest, or there is none
	}
	return perSecond
}

// crowded reports whether too many requests wait before this one for a turn that would
// still be in time.
func (x *exchange) crowded() bool {
	perSecond := x.turns()
	if math.IsInf(perSecond, 1) {
		return false
	}
	ahead := float64(x.state.group.held.Load())
	wait := x.allShut() + seconds(ahead/perSecond)
	return wait+x.usual() > clock.Until(x.usefulUntil())
}

// maxSeconds bounds a time that is worked out from a rate.
const maxSeconds = 3600

// seconds converts a number of seconds, which may be infinite or not a number.
func seconds(n float64) time.Duration {
	if !(n < maxSeconds) {
		n = maxSeconds
	}
	return time.Duration(n * float64(time.Second))
}

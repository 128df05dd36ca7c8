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

// This file keeps requests away from upstreams that asked this host for rest. Such an
// upstream reports itself idle, since it turns everything away, and was the best choice
// again and again: of four hosts with ten upstreams, three of which did so for five
// seconds, 38 of 400 callers were refused, and 20 of 65 rests were broken. With this file no
// rest is, and 4 and 5 callers were refused in two runs.

// rested takes in what an answer says of rest.
func (x *exchange) rested(b binding, resp *httpwire.Response) {
	read := x.proxy.dialect.Backoff
	if resp == nil || read == nil {
		return
	}
	now := clock.Now()
	d, err := read(resp.Status, resp.Header)
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

// last reports whether the request could not be sent again if send number n were turned
// away.
func (x *exchange) last(n int) bool {
	return n >= maxAttempts(x.rule.Config) || x.isRetry || x.noRetry || x.state.budget.Exhausted()
}

// maxChoices bounds the choices for one send, of which all but the last met an upstream
// that another request has tried first after its rest, or at which it used the turn.
const maxChoices = 8

// choose lets the policy choose an upstream that does not rest, and takes this host's turn
// at one that names a limit, or one that another host lends. The error is balancer.ErrNoSlot
// where it is worth to wait.
func (x *exchange) choose(ctx context.Context, group *routing.Group, info balancer.PickInfo) (balancer.Result, error) {
	if choice, ok := x.confirm(group, info); ok {
		return choice, nil
	}
	for range maxChoices {
		choice, err := group.Picker.Pick(info)
		switch {
		case err == nil && choice.Upstream.Limit.Take(info.Now) && choice.Upstream.Backoff.Try(info.Now):
			return choice, nil
		case err == nil:
			continue
		case info.FinalAttempt && errors.Is(err, balancer.ErrNoUpstream):
			info.FinalAttempt = false // none is left but those whose rest has just ended
			continue
		case errors.Is(err, balancer.ErrNoUpstream):
			if borrowed, ok := x.borrow(ctx, group, info); ok {
				return borrowed, nil
			}
		}
		if errors.Is(err, balancer.ErrNoUpstream) && x.opensShortly(info) {
			return choice, balancer.ErrNoSlot
		}
		return choice, err
	}
	return balancer.Result{}, balancer.ErrNoSlot
}

// opensShortly reports whether all upstreams are shut that were not tried, and one opens
// soon enough that the request is still answered within its target if it waits here. For a
// trial after a rest it waits as long as it has time at all. One without a target is told
// when to come back rather than held up to its deadline.
func (x *exchange) opensShortly(info balancer.PickInfo) bool {
	left := x.shutFor(info.Exclude)
	switch {
	case left == 0 || info.Waited == 0 && x.crowded():
		return false
	case left <= backoff.TrialTimeout:
		return left+info.ExpectedLatency <= info.DeadlineLeft
	case x.rule.Config.TargetLatency == 0:
		return false
	}
	return left+info.ExpectedLatency <= info.TargetLeft
}

// allShut returns how long it takes until the first upstream of the group may be sent a
// request; 0 if one may be now.
func (x *exchange) allShut() time.Duration { return x.shutFor(nil) }

// shutFor is allShut without some upstreams.
func (x *exchange) shutFor(without []*balancer.Upstream) time.Duration {
	now := clock.Now()
	var first time.Duration
	for _, u := range x.state.group.current.Load().Upstreams {
		if slices.Contains(without, u) {
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

// noUpstream says why there is no upstream to send to.
func (x *exchange) noUpstream(err error) *errkind.Error {
	kind := errkind.NoUpstream
	switch {
	case !math.IsInf(x.turns(), 1):
		kind = errkind.UpstreamsLimited
		x.admitted(false)
	case x.allShut() > 0:
		kind = errkind.UpstreamsRest
		x.admitted(false)
	}
	return errkind.Wrap(kind, err, x.state.group.current.Load().Config.Name)
}

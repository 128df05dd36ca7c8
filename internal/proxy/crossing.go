package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// This file counts the traffic that crosses failure domains, by reason.

// Crossing is the reason why an attempt crossed failure domains, as metrics and events name it.
type Crossing string

// The reasons. The first two apply to all attempts that cross meanwhile; the others say what
// kind of attempt crossed.
const (
	// CrossingEvacuated means that no upstream of the own domain accepts requests.
	CrossingEvacuated Crossing = "evacuated"
	// CrossingGone means that all upstreams of the own domain failed recently.
	CrossingGone Crossing = "gone"
	// CrossingNoRoom means that a first attempt found no acceptable upstream in its domain.
	CrossingNoRoom Crossing = "no-room"
	// CrossingRetry means that a request was sent again.
	CrossingRetry Crossing = "retry"
	// CrossingHedge means that a request was sent to a second upstream.
	CrossingHedge Crossing = "hedge"
)

// noCrossing is the reason in events once nothing is evacuated or gone, and of attempts that do
// not cross.
const noCrossing Crossing = "none"

// Crossings lists the reasons.
var Crossings = []Crossing{CrossingEvacuated, CrossingGone, CrossingNoRoom, CrossingRetry, CrossingHedge}

// CrossingCounter counts what crosses failure domains. Its methods are called on the goroutines
// that serve requests and must not block.
type CrossingCounter interface {
	// RequestCrossed counts an attempt that has ended, with the bytes of its request and its
	// response; they are 0 if no complete response arrived.
	RequestCrossed(reason string, bytes int)
	// QueryCrossed counts a load query.
	QueryCrossed()
}

// WithCrossingCounter counts the traffic that crosses failure domains with c.
func WithCrossingCounter(c CrossingCounter) Option { return func(p *Proxy) { p.crossingCounter = c } }

// discardCrossings counts nothing.
type discardCrossings struct{}

func (discardCrossings) RequestCrossed(string, int) {}
func (discardCrossings) QueryCrossed()              {}

// crossingReason returns the reason for attempt number n.
func crossingReason(c balancer.Crossing, n int, isHedge bool) Crossing {
	switch {
	case c == balancer.NotCrossing:
		return noCrossing
	case c == balancer.DomainEvacuated:
		return CrossingEvacuated
	case c == balancer.DomainGone:
		return CrossingGone
	case isHedge:
		return CrossingHedge
	case n > 1:
		return CrossingRetry
	}
	return CrossingNoRoom
}

// recordPick determines why an attempt crosses, if it does, and emits an event if the reason of
// the group's crossings has changed.
func (x *exchange) recordPick(group *routing.Group, u *balancer.Upstream, n int, isHedge bool, now time.Time) Crossing {
	picker, ok := group.Picker.(balancer.CrossingPicker)
	if !ok {
		return noCrossing
	}
	reason := crossingReason(picker.Crossing(u, now), n, isHedge)
	state := &x.state.group.crossing
	if before, after, changed := state.observe(now, reason); changed {
		x.proxy.events.Emit(event.Event{
			Code: event.CrossingReasonChanged, At: time.Now(), EntryHost: x.proxy.host, Service: x.state.group.serviceName,
			Reason: string(after), Detail: crossingDetail(group, before),
		})
	}
	return reason
}

// crossingDetail returns the detail of an event. A registered service has one group, which is not
// named.
func crossingDetail(group *routing.Group, before Crossing) string {
	detail := "before: " + string(before)
	if group.Config.Registered == "" {
		detail = "group: " + group.Config.Name + ", " + detail
	}
	return detail
}

// recordTransfer includes the bytes of an attempt in the averages, and counts it if it crossed.
// Only responses that are returned to callers are included in the averages: refusals and
// failures are small, and a service that refuses much would seem to have small responses.
func (x *exchange) recordTransfer(r result, resp *httpwire.Response) {
	bytes := 0
	if resp != nil {
		bytes = len(x.req.Body) + len(resp.Body)
	}
	if r.err == nil && resp != nil {
		x.transfers().record(bytes)
	}
	if reason := r.binding.crossing; reason != noCrossing {
		x.proxy.crossingCounter.RequestCrossed(string(reason), bytes)
	}
}

func (x *exchange) transfers() transfers {
	return transfers{rule: x.state.bytes, group: &x.state.group.bytes, host: &x.proxy.bytes}
}

// countQueries counts the load queries that cross.
func (x *exchange) countQueries(group *routing.Group, list []*balancer.Upstream) {
	picker, ok := group.Picker.(balancer.CrossingPicker)
	if !ok {
		return
	}
	now := clock.Now()
	for _, u := range list {
		if picker.Crossing(u, now) != balancer.NotCrossing {
			x.proxy.crossingCounter.QueryCrossed()
		}
	}
}

// crossingEventInterval is the shortest time between two events of a service, so that a domain
// that fails and recovers repeatedly does not fill the log.
const crossingEventInterval = time.Second

// crossingState is the last reason of a group's crossings that was published. It is safe for
// concurrent use.
type crossingState struct {
	// published is the last reason: CrossingEvacuated, CrossingGone, or nil for any other.
	published atomic.Pointer[Crossing]
	events    *crossingEvents
}

// crossingEvents bounds the events on crossings of one service, over all of its groups.
type crossingEvents struct {
	mu   sync.Mutex
	last time.Time // of the last event
}

// published reasons.
var (
	evacuated = CrossingEvacuated
	gone      = CrossingGone
)

// stateOf returns what is published for a reason.
func stateOf(c Crossing) *Crossing {
	switch c {
	case CrossingEvacuated:
		return &evacuated
	case CrossingGone:
		return &gone
	}
	return nil
}

// reason returns the published reason.
func (s *crossingState) reason() Crossing {
	if r := s.published.Load(); r != nil {
		return *r
	}
	return noCrossing
}

// observe records the reason of an attempt. It returns the published reasons and true if an event
// is to be emitted: the reason changed to or from evacuated or gone, and the last event is old
// enough. A change within the interval is emitted with the next attempt after it, if the
// reason is still another one.
func (s *crossingState) observe(now time.Time, c Crossing) (before, after Crossing, changed bool) {
	next := stateOf(c)
	if s.published.Load() == next {
		return "", "", false
	}
	s.events.mu.Lock()
	defer s.events.mu.Unlock()
	before = s.reason()
	if s.published.Load() == next || !s.events.last.IsZero() && now.Sub(s.events.last) < crossingEventInterval {
		return "", "", false
	}
	s.published.Store(next)
	s.events.last = now
	return before, s.reason(), true
}

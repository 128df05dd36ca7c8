package proxy

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// testOverdue is the time after which the policy of these tests considers a response overdue.
const testOverdue = 20 * time.Millisecond

// overduePicker is least outstanding with an overdue time. It records the outcomes.
type overduePicker struct {
	balancer.Picker
	mu       sync.Mutex
	outcomes []balancer.Outcome
}

func (p *overduePicker) Pick(info balancer.PickInfo) (balancer.Result, error) {
	r, err := p.Picker.Pick(info)
	r.OverdueAfter = testOverdue
	return r, err
}

func (p *overduePicker) Observe(_ *balancer.Upstream, f balancer.Feedback) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, f.Outcome)
}

func (p *overduePicker) groups(_ *config.Service, g *config.Group) *routing.Group {
	p.Picker = leastoutstanding.Builder{}.Build(balancer.Options{}).Update(records(g))
	return &routing.Group{Config: g, Picker: p}
}

// stuckFirst never responds to a first attempt, and responds to a second one at once.
type stuckFirst struct {
	mu    sync.Mutex
	sends map[string][]string // upstreams by request ID
}

func (s *stuckFirst) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	s.mu.Lock()
	id := req.Header.Get("X-Request-Id")
	s.sends[id] = append(s.sends[id], address)
	s.mu.Unlock()
	if req.Header.Get(HeaderAttempt) != "1" {
		return ok(), nil
	}
	<-ctx.Done()
	return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
}

// TestHedgeWhenOverdue checks which setting determines the hedge delay, and that the losing
// attempt is reported as cancelled.
func TestHedgeWhenOverdue(t *testing.T) {
	const callerTimeout = 100 * time.Millisecond
	tests := []struct {
		name  string
		retry config.Retry
		took  time.Duration
		sends int
	}{
		{"the policy's delay by default", config.Retry{}, testOverdue, 2},
		{"off", config.Retry{Hedge: config.HedgeOff}, callerTimeout, 1},
		{"the rule's own delay", config.Retry{HedgeAfter: config.Duration(30 * time.Millisecond)}, 30 * time.Millisecond, 2},
		{"a percentile without samples", config.Retry{HedgePercentile: 95}, callerTimeout, 1},
		{"one attempt only", config.Retry{MaxAttempts: 1}, callerTimeout, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rule := lookup()
				rule.Retry = tt.retry
				picker := &overduePicker{}
				sender := &stuckFirst{sends: make(map[string][]string)}
				p := newProxy(service(3, rule), picker.groups, sender, event.Discard{})
				req := request("GET")
				req.Header.Set(HeaderTimeout, "100")
				start := time.Now()
				p.Serve(t.Context(), req)
				is.Equal(time.Since(start), tt.took) // virtual time
				synctest.Wait()
				for _, to := range sender.sends {
					is.Equal(len(to), tt.sends)
					is.Equal(len(slices.Compact(slices.Sorted(slices.Values(to)))), tt.sends) // no upstream gets two attempts
				}
				if tt.sends == 2 {
					is.Equal(picker.outcomes, []balancer.Outcome{balancer.Answered, balancer.Cancelled})
				}
			})
		})
	}
}

// TestOverdueHedgesStayWithinBudget checks that hedges stay within the budget if the first
// attempts of all requests get stuck.
func TestOverdueHedgesStayWithinBudget(t *testing.T) {
	const (
		requests = 200
		share    = 10 // percent
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &recorder{}
		sender := &stuckFirst{sends: make(map[string][]string)}
		p := newProxy(service(3, lookup()), (&overduePicker{}).groups, sender, events)
		for range requests {
			req := request("GET")
			req.Header.Set(HeaderTimeout, "50")
			p.Serve(t.Context(), req)
		}
		bound := retry.ReserveTokens + requests*share/100
		is.True(events.count(event.HedgeSent) <= bound)
		is.True(events.count(event.HedgeSent) >= bound-1)
		is.Equal(events.reason(event.HedgeDenied), string(retry.DeniedBudget))
	})
}

// TestNoOverdueHedgeBeforeTheDeadline checks that a request is not hedged if less time is
// left than an attempt is expected to take.
func TestNoOverdueHedgeBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &recorder{}
		sender := &stuckFirst{sends: make(map[string][]string)}
		p := newProxy(service(3, lookup()), (&overduePicker{}).groups, sender, events)
		for range retry.MinSamples {
			p.state.Load().byRule[targetName{"test", "lookup", groupName{"test", "main"}}].latency.Observe(15 * time.Millisecond)
		}
		req := request("GET")
		req.Header.Set(HeaderTimeout, "30")
		p.Serve(t.Context(), req)
		is.Equal(events.count(event.HedgeSent), 0)
		is.Equal(events.reason(event.HedgeDenied), string(retry.DeniedDeadline))
	})
}

// TestNonRepeatableIsNotHedgedWhenOverdue checks that a non-repeatable request has one
// attempt, even if its response is overdue.
func TestNonRepeatableIsNotHedgedWhenOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &recorder{}
		sender := &stuckFirst{sends: make(map[string][]string)}
		p := newProxy(service(3, sale()), (&overduePicker{}).groups, sender, events)
		p.Serve(t.Context(), request("POST"))
		is.Equal(events.count(event.HedgeSent), 0)
		for _, to := range sender.sends {
			is.Equal(len(to), 1)
		}
	})
}

// TestHedgeOutcomes covers the orders in which two attempts can end. The second starts after
// 20 ms.
func TestHedgeOutcomes(t *testing.T) {
	type send struct {
		lasts time.Duration
		fails bool
	}
	const ms = time.Millisecond
	tests := []struct {
		name           string
		first, second  send
		took           time.Duration
		answered       bool
		won, cancelled int
	}{
		{"second wins", send{90 * ms, false}, send{5 * ms, false}, 25 * ms, true, 1, 1},
		{"first wins", send{30 * ms, false}, send{50 * ms, false}, 30 * ms, true, 0, 1},
		{"first fails", send{22 * ms, true}, send{5 * ms, false}, 25 * ms, true, 0, 0},
		{"second fails", send{30 * ms, false}, send{5 * ms, true}, 30 * ms, true, 0, 0},
		{"both fail, the first last", send{30 * ms, true}, send{5 * ms, true}, 30 * ms, false, 0, 0},
		{"both fail, the second last", send{22 * ms, true}, send{5 * ms, true}, 25 * ms, false, 0, 0},
		{"answered before the delay", send{10 * ms, false}, send{}, 10 * ms, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := senderFunc(func(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
					s := tt.first
					if req.Header.Get(HeaderAttempt) != "1" {
						s = tt.second
					}
					select {
					case <-time.After(s.lasts):
					case <-ctx.Done():
						return nil, errkind.Wrap(errkind.CallerGone, ctx.Err(), address)
					}
					if s.fails {
						return nil, errkind.New(errkind.UpstreamBroken, address)
					}
					return ok(), nil
				})
				events := &recorder{}
				p := newProxy(service(3, lookup()), (&overduePicker{}).groups, sender, events)
				start := time.Now()
				resp := p.Serve(t.Context(), request("GET"))
				is.Equal(time.Since(start), tt.took) // virtual time
				is.Equal(resp.Status == 200, tt.answered)
				is.Equal(events.count(event.HedgeWon), tt.won)
				is.Equal(events.count(event.HedgeCancelled), tt.cancelled)
				synctest.Wait()
				checkDrained(t, p)
			})
		})
	}
}

// TestHedgeExceedsLimitFullOfStuckRequests checks that hedges are sent although stuck first
// attempts hold all permits of the limiter.
func TestHedgeExceedsLimitFullOfStuckRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := &recorder{}
		sender := &stuckFirst{sends: make(map[string][]string)}
		p := newProxy(service(3, lookup()), (&overduePicker{}).groups, sender, events)
		var wg sync.WaitGroup
		start := time.Now()
		for range limit.MinFloor + 1 {
			wg.Go(func() { is.Equal(p.Serve(t.Context(), request("GET")).Status, 200) })
		}
		synctest.Wait()
		is.Equal(events.count(event.RequestQueued), 1)
		wg.Wait()
		is.Equal(time.Since(start), 2*testOverdue) // the last request waited for the others' hedges
		synctest.Wait()
		checkDrained(t, p)
	})
}

package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// In these tests, upstreams reject requests, ask the host to back off with each rejection, and
// seem idle meanwhile. Time is virtual.

func hedged() config.Rule {
	r := lookup()
	r.Retry = config.Retry{MaxAttempts: 3, BudgetPercent: 20, HedgeAfter: config.Duration(30 * time.Millisecond)}
	return r
}

// TestRestIsKept has one of four upstreams reject everything for ten seconds. No request may
// be sent to it during a backoff, all callers must be served by the other upstreams, and it
// must have its share again half a second after the last backoff.
func TestRestIsKept(t *testing.T) {
	for name, rule := range map[string]config.Rule{"look-ups": lookup(), "hedged look-ups": hedged(), "single actions": sale()} {
		for value, d := range map[string]time.Duration{"3": 3 * time.Second, "1.5": 1500 * time.Millisecond, "0.4": 400 * time.Millisecond} {
			t.Run(name+" "+value, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					const pause = 7 * time.Millisecond
					upstreams := newRejectingUpstreams()
					upstreams.slowWork = 60 * time.Millisecond
					upstreams.reject(value, "up-1")
					p := newProxy(service(4, rule), leastOutstanding, upstreams, new(recorder))
					method := "GET"
					if rule.Repeat != config.Repeatable {
						method = "POST"
					}
					time.AfterFunc(10*time.Second, func() { upstreams.serve("up-1") })
					start := clock.Now()
					answers := serveEvery(p, method, int(15*time.Second/pause), pause)
					is.Equal(refusals(answers), 0)
					rejected := 0
					var until time.Time
					for _, s := range upstreams.all() {
						if s.upstream != "up-1" {
							continue
						}
						if s.at.Before(until) && s.at.After(until.Add(-d+2*time.Millisecond)) {
							t.Errorf("sent to during a backoff, %v after the start", s.at.Sub(start))
						}
						if s.rejected {
							until = s.at.Add(d)
							rejected++
						}
					}
					is.True(rejected >= int(10*time.Second/(d+backoff.ResumeJitter)))
					from := start.Add(10*time.Second + d + 500*time.Millisecond)
					recovered := 0
					for _, at := range upstreams.arrivals("up-1") {
						if at.After(from) && at.Before(from.Add(time.Second)) {
							recovered++
						}
					}
					is.True(recovered >= int(time.Second/pause)/4/2)
				})
			})
		}
	}
}

// TestAllPoliciesKeepRest checks that no policy picks, probes or queries an upstream that is
// backing off, and that each returns ErrNoUpstream if all are.
func TestAllPoliciesKeepRest(t *testing.T) {
	for _, name := range registry.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := registry.Lookup(name)
			is.NoErr(err)
			var members []*balancer.Upstream
			for _, id := range []string{"a", "b", "c"} {
				members = append(members, &balancer.Upstream{ID: id, Address: id, Slots: 2})
			}
			picker := b.Build(balancer.Options{}).Update(members)
			now := clock.Now()
			members[0].Backoff.Begin(now, time.Minute, 0)
			members[1].Backoff.Begin(now, time.Minute, 0)
			random := seeded(3)
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				choice, err := picker.Pick(balancer.PickInfo{Now: now, Random: random()})
				is.NoErr(err)
				is.Equal(choice.Upstream.ID, "c")
				if prober, ok := picker.(balancer.Prober); ok {
					is.Equal(prober.Probe(now, random()).ID, "c")
				}
				if querier, ok := picker.(balancer.LoadQuerier); ok {
					for _, u := range querier.QueryTargets(balancer.PickInfo{Now: now, Random: random()}, 0) {
						is.Equal(u.ID, "c")
					}
				}
			}
			members[2].Backoff.Begin(now, time.Minute, 0)
			_, err = picker.Pick(balancer.PickInfo{Now: now})
			is.Equal(err, balancer.ErrNoUpstream)
		})
	}
}

// TestAllUpstreamsRest checks that callers get a Retry-After at once if all upstreams are
// backing off, and are served if they return after it.
func TestAllUpstreamsRest(t *testing.T) {
	for name, target := range map[string]time.Duration{"with a target": 300 * time.Millisecond, "without one": 0} {
		t.Run(name, func(t *testing.T) { testAllUpstreamsBackOff(t, target) })
	}
}

func testAllUpstreamsBackOff(t *testing.T, target time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := []string{"up-1", "up-2"}
		upstreams := newRejectingUpstreams()
		upstreams.reject("3", all...)
		rule := lookup()
		rule.TargetLatency = config.Duration(target)
		rule.Deadline = config.Duration(30 * time.Second)
		p := newProxy(service(len(all), rule), leastOutstanding, upstreams, new(recorder))
		serveEvery(p, "GET", 4, 10*time.Millisecond) // both have rejected a request of this host
		upstreams.serve(all...)
		sends := upstreams.count()
		for range 20 {
			asked := clock.Now()
			a := p.Serve(t.Context(), request("GET"))
			is.Equal(a.Status, http.StatusServiceUnavailable)
			is.Equal(a.Header.Get(HeaderError), "upstreams-rest")
			is.Equal(a.Header.Get(HeaderOutcome), "not-run")
			is.True(clock.Since(asked) < time.Millisecond)
			ms, err := strconv.Atoi(a.Header.Get(HeaderRetryAfterMs))
			is.NoErr(err)
			is.True(ms > 2500 && ms < 6000)
			back := time.Duration(ms) * time.Millisecond
			go func() {
				time.Sleep(back)
				req := request("GET")
				req.Received = clock.Now()
				if a := p.Serve(context.Background(), req); a.Status != http.StatusOK {
					t.Errorf("returned after the Retry-After of %v: %d %s", back, a.Status, a.Header.Get(HeaderError))
				}
			}()
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(upstreams.count(), sends)
		time.Sleep(7 * time.Second)
		is.Equal(upstreams.count(), sends+20)
	})
}

// TestRestThatEndsInTime checks that a request waits instead of being refused if the backoff
// ends early enough for a response within the target.
func TestRestThatEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		upstreams := newRejectingUpstreams()
		upstreams.reject("0.1", "up-1")
		rule := lookup()
		rule.TargetLatency = config.Duration(500 * time.Millisecond)
		p := newProxy(service(1, rule), leastOutstanding, upstreams, new(recorder))
		is.Equal(serveEvery(p, "GET", 1, 0)[0].Status, http.StatusServiceUnavailable)
		upstreams.serve("up-1")
		start := clock.Now()
		answers := serveEvery(p, "GET", 5, time.Millisecond)
		is.Equal(refusals(answers), 0)
		first := upstreams.arrivals("up-1")[1]
		is.True(first.Sub(start) >= 95*time.Millisecond && first.Sub(start) <= 230*time.Millisecond)
		second := upstreams.arrivals("up-1")[2]
		is.True(second.Sub(first) >= 20*time.Millisecond) // the first request after the backoff is sent alone
	})
}

// TestFinalAttemptAvoidsTrialAfterBackoff checks that requests that can't be sent again are
// not sent to an upstream within RetryableOnlyPeriod after its backoff, and that it gets
// requests soon after that.
func TestFinalAttemptAvoidsTrialAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		upstreams := newRejectingUpstreams()
		once := lookup()
		once.Retry.MaxAttempts = 1
		p := newProxy(service(2, once), leastOutstanding, upstreams, new(recorder))
		until := p.state.Load().groups[groupName{"test", "main"}].current.Load().Upstreams[0].Backoff.Begin(clock.Now(), time.Second, 0)
		serveEvery(p, "GET", 400, 5*time.Millisecond)
		first := upstreams.arrivals("up-1")[0]
		is.True(!first.Before(until.Add(backoff.RetryableOnlyPeriod)))
		is.True(first.Before(until.Add(500 * time.Millisecond)))
	})
}

// TestBackoffValues checks that an invalid value causes no backoff but an event, and that a
// very long backoff is limited to MaxDuration.
func TestBackoffValues(t *testing.T) {
	for value, test := range map[string]struct {
		backoff    time.Duration
		unreadable int
	}{
		"":                              {0, 0},
		"0":                             {0, 0},
		"soon":                          {0, 1},
		"-3":                            {0, 1},
		"Fri, 31 Dec 2027 23:59:59 GMT": {0, 1},
		"86400":                         {backoff.MaxDuration, 0},
		"1e18":                          {backoff.MaxDuration, 0},
	} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				upstreams := newRejectingUpstreams()
				upstreams.reject(value, "up-1")
				events := new(recorder)
				p := newProxy(service(1, lookup()), leastOutstanding, upstreams, events)
				serveEvery(p, "GET", 1, 0)
				is.Equal(events.count(event.RestUnreadable), test.unreadable)
				is.Equal(events.count(event.RestAsked) == 1, test.backoff > 0)
				u := p.state.Load().groups[groupName{"test", "main"}].current.Load().Upstreams[0]
				left := u.Backoff.Delay(clock.Now())
				is.True(left <= test.backoff+backoff.ResumeJitter && left >= test.backoff-time.Millisecond)
				if test.backoff == 0 {
					is.Equal(left, time.Duration(0))
				}
			})
		})
	}
}

// TestBackoffOfDownstreamEntryHost checks that the Retry-After of a downstream entry host's
// refusal applies to the request and is not taken as a backoff of that host.
func TestBackoffOfDownstreamEntryHost(t *testing.T) {
	is := is.New(t)
	below := http.Header{HeaderNotRun: {flagSet}, HeaderRetryAfter: {"300"}, HeaderError: {"quarantined"}}
	d, err := defaultBackoff(http.StatusServiceUnavailable, below)
	is.NoErr(err)
	is.Equal(d, time.Duration(0))
	d, err = defaultBackoff(http.StatusServiceUnavailable, http.Header{HeaderNotRun: {flagSet}, HeaderRetryAfter: {"3"}, HeaderRetryAfterMs: {"2500"}})
	is.NoErr(err)
	is.Equal(d, 2500*time.Millisecond)
	d, err = defaultBackoff(http.StatusServiceUnavailable, http.Header{HeaderRetryAfter: {"3"}}) // a response: it ran
	is.NoErr(err)
	is.Equal(d, time.Duration(0))
}

// TestRestOverASuspension checks that a backoff elapses while the machine is suspended.
func TestRestOverASuspension(t *testing.T) {
	for name, test := range map[string]struct{ suspended, left time.Duration }{
		"within": {time.Second, 2 * time.Second},
		"beyond": {time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				upstreams := newRejectingUpstreams()
				upstreams.reject("3", "up-1")
				p := newProxy(service(1, lookup()), leastOutstanding, upstreams, new(recorder))
				serveEvery(p, "GET", 1, 0)
				undo := clock.SimulateSuspension(test.suspended)
				defer undo()
				u := p.state.Load().groups[groupName{"test", "main"}].current.Load().Upstreams[0]
				left := u.Backoff.Delay(clock.Now())
				is.True(left <= test.left+backoff.ResumeJitter && left >= test.left-2*time.Millisecond)
			})
		})
	}
}

// TestRequestsThatWaitAreTold checks that queued requests are refused at once when their
// upstreams start to back off.
func TestRequestsThatWaitAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		upstreams := newRejectingUpstreams()
		upstreams.serviceTime = 200 * time.Millisecond
		s := service(1, lookup())
		s.Groups[0].Upstreams[0].Slots = 1
		p := newProxy(s, lateBinding, upstreams, new(recorder))
		var all sync.WaitGroup
		for i := range 6 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				req := request("GET")
				req.Received = clock.Now()
				began := clock.Now()
				a := p.Serve(context.Background(), req)
				if i > 0 && (a.Status != http.StatusServiceUnavailable || clock.Since(began) > 230*time.Millisecond) {
					t.Errorf("request %d: %d %s after %v", i, a.Status, a.Header.Get(HeaderError), clock.Since(began))
				}
			})
		}
		time.AfterFunc(100*time.Millisecond, func() { upstreams.reject("3", "up-1") })
		all.Wait()
		is.Equal(upstreams.count(), 2)
	})
}

// TestBackoffAndLeavingAreReported checks that a response that carries both is reported as
// both.
func TestBackoffAndLeavingAreReported(t *testing.T) {
	is := is.New(t)
	upstreams := newRejectingUpstreams()
	upstreams.serviceTime = 0
	upstreams.rejection["up-1"] = func() http.Header {
		return http.Header{HeaderNotRun: {flagSet}, HeaderRetryAfter: {"3"}, lifecycle.HeaderLeaving: {"1"}}
	}
	recorded := new(lifecycleRecorder)
	p := New("127.0.0.1", "test", upstreams, new(recorder), WithRandom(seeded(1)), WithUpstreams(recorded))
	p.SetTable(routing.Compile(1, []*config.Service{service(2, lookup())}, groupsFunc(leastOutstanding)))
	for range 8 {
		is.Equal(p.Serve(t.Context(), request("GET")).Status, http.StatusOK)
	}
	is.Equal(recorded.backingOff, []string{"up-1"})
	is.Equal(len(recorded.leaving), 1)
	is.Equal(recorded.leaving[0].Upstream, "up-1")
}

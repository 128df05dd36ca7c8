package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/registry"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// In these tests, upstreams announce how many requests per second they accept from all hosts
// together, and the load of each host is far below that. Time is virtual.

// TestLimitsAreKept has two of ten upstreams announce a limit for ten seconds. Their arrivals
// must stay within what they tolerate, no caller may be refused since the other upstreams
// have capacity, and after the end of the limit they must get at least half of their share
// again.
func TestLimitsAreKept(t *testing.T) {
	rules := map[string]config.Rule{"look-ups": lookup(), "hedged look-ups": hedged(), "single actions": sale()}
	for name, rule := range rules {
		for _, hosts := range []int{1, 4, 18} {
			for _, limit := range []string{"0", "0.3", "1.2", "2.25", "12"} {
				t.Run(fmt.Sprintf("%s, %d hosts, %s a second", name, hosts, limit), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testLimitsAreKept(t, hosts, limit, "least-outstanding", rule) })
				})
			}
		}
	}
}

// TestAllPoliciesKeepLimits runs the checks of TestLimitsAreKept with each policy.
func TestAllPoliciesKeepLimits(t *testing.T) {
	for _, policy := range registry.Names() {
		t.Run(policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLimitsAreKept(t, 4, "1.2", policy, lookup()) })
		})
	}
}

func testLimitsAreKept(t *testing.T, hosts int, limit, policy string, rule config.Rule) {
	is := is.New(t)
	const upstreams, load, lasts = 10, 80.0, 10 * time.Second
	f := newLimitFleet(hosts, upstreams, policy, rule)
	limited := f.ids[:2]
	from := clock.Now().Add(time.Second)
	to := from.Add(lasts)
	time.AfterFunc(time.Until(from), func() { f.upstreams.setLimit(limit, limited...) })
	time.AfterFunc(time.Until(to), func() { f.upstreams.setLimit("", limited...) })
	const after = 8 * time.Second // an upstream with a limit of 0 is tried every 4 s
	got := f.sendLoad(methodOf(rule), time.Second+lasts+after, load/float64(hosts))
	is.Equal(len(got.refused()), 0)
	for _, id := range limited {
		if most := f.upstreams.maxInWindow(id, from.Add(limitPropagation), to); most > allowedInWindow(limit) {
			t.Errorf("%s got %d requests in %v, tolerates %d", id, most, rateWindow, allowedInWindow(limit))
		}
	}
	recovered := f.upstreams.countBetween(to.Add(after/2+limitPropagation), to.Add(after), limited...)
	is.True(recovered >= int(load*(after/2-limitPropagation).Seconds()*2/upstreams/2))
}

func methodOf(r config.Rule) string {
	if r.Repeat == config.Repeatable {
		return http.MethodGet
	}
	return http.MethodPost
}

// TestLimitsThatChange has an upstream announce another limit every half second.
func TestLimitsThatChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(18, 10, "least-outstanding", lookup())
		from := clock.Now()
		for i := range 40 {
			time.AfterFunc(time.Duration(i)*500*time.Millisecond, func() {
				f.upstreams.setLimit(strconv.FormatFloat(1+float64(i%5)/4, 'f', 2, 64), f.ids[0])
			})
		}
		got := f.sendLoad(http.MethodGet, 20*time.Second, 5)
		is.Equal(len(got.refused()), 0)
		is.True(f.upstreams.maxInWindow(f.ids[0], from.Add(limitPropagation), clock.Now()) <= allowedInWindow("2"))
	})
}

// TestHostsThatHearNothing isolates the hosts from each other, so that each learns limits
// only from the responses to its own requests.
func TestHostsThatHearNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(18, 10, "least-outstanding", lookup())
		for _, h := range f.hosts {
			h.isolated = true
		}
		f.upstreams.setLimit("1.2", f.ids[0])
		from := clock.Now()
		got := f.sendLoad(http.MethodGet, 20*time.Second, 5)
		is.Equal(len(got.refused()), 0)
		is.True(f.upstreams.maxInWindow(f.ids[0], from.Add(4*time.Second), clock.Now()) <= allowedInWindow("1.2"))
	})
}

// TestRetriesKeepLimits has one upstream reject everything, so that requests are retried at
// others. The limits must hold for retries as well.
func TestRetriesKeepLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(4, 4, "least-outstanding", lookup())
		f.upstreams.rejects[f.ids[3]] = true
		f.upstreams.setLimit("1.2", f.ids[0], f.ids[1])
		from := clock.Now()
		f.sendLoad(http.MethodGet, 20*time.Second, 5)
		for _, id := range f.ids[:2] {
			if most := f.upstreams.maxInWindow(id, from.Add(limitPropagation), clock.Now()); most > allowedInWindow("1.2") {
				t.Errorf("%s got %d requests", id, most)
			}
		}
	})
}

// TestAllUpstreamsNameLimits sends twice the rate that all upstreams of a service accept
// together. Arrivals must stay within what the upstreams tolerate, and nine tenths of the
// accepted rate must be used. Callers are refused as soon as two hosts were asked for a time
// slot. Only a few may be refused after waiting for a time slot of their own host, and none
// after its target latency.
func TestAllUpstreamsNameLimits(t *testing.T) {
	equal, unequal := []float64{1}, []float64{0.25, 0.25, 0.5, 3}
	for name, c := range map[string]struct {
		hosts int
		loads []float64
	}{
		"1 host":                  {1, equal},
		"4 hosts":                 {4, equal},
		"4 hosts, unequal loads":  {4, unequal},
		"18 hosts":                {18, equal},
		"18 hosts, unequal loads": {18, unequal},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testAllUpstreamsLimited(t, c.hosts, c.loads) })
		})
	}
}

func testAllUpstreamsLimited(t *testing.T, hosts int, loads []float64) {
	is := is.New(t)
	const upstreams, limit, perSecond, lasts = 10, "1.2", 1.2, 30 * time.Second
	rule := lookup()
	rule.TargetLatency = config.Duration(250 * time.Millisecond)
	f := newLimitFleet(hosts, upstreams, "least-outstanding", rule)
	f.upstreams.setLimit(limit, f.ids...)
	for range 3 { // all hosts learn all limits
		f.sendLoad(http.MethodGet, time.Second, 20/float64(hosts))
	}
	var scaled []float64
	for _, l := range loads {
		scaled = append(scaled, l*2*perSecond*upstreams/float64(hosts))
	}
	from := clock.Now()
	got := f.sendLoad(http.MethodGet, lasts, scaled...)
	refused := got.refused()
	served := got.count() - len(refused)
	used := float64(served) / (perSecond * upstreams * lasts.Seconds())
	t.Logf("%d sent, %d served: %.2f of the accepted rate", got.count(), served, used)
	is.True(used > 0.9)
	for _, id := range f.ids {
		if most := f.upstreams.maxInWindow(id, from, clock.Now()); most > allowedInWindow(limit) {
			t.Errorf("%s got %d requests", id, most)
		}
	}
	late := 0
	for _, r := range refused {
		is.Equal(r.Header.Get(HeaderError), "upstreams-limited")
		waited := r.answeredAt.Sub(r.sentAt)
		is.True(waited <= 250*time.Millisecond)
		if waited > 2*maxBorrowAttempts*peerDelay+time.Millisecond {
			late++
		}
	}
	t.Logf("%d of %d refused after a wait", late, len(refused))
	is.True(late <= len(refused)/4)
}

// TestCallersComeBackForATurn checks that callers refused for lack of a time slot are served
// if they return after their Retry-After.
func TestCallersComeBackForATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rule := lookup()
		rule.TargetLatency = config.Duration(250 * time.Millisecond)
		f := newLimitFleet(1, 2, "least-outstanding", rule)
		f.upstreams.setLimit("2", f.ids...)
		f.sendLoad(http.MethodGet, time.Second, 20)
		time.Sleep(3 * time.Second)
		first := new(callLog)
		for range 20 {
			go f.call(f.hosts[0], http.MethodGet, first)
		}
		time.Sleep(time.Second)
		back := new(callLog)
		refused := first.refused()
		is.True(len(refused) >= 14)
		for _, r := range refused {
			ms, err := strconv.Atoi(r.Header.Get(HeaderRetryAfterMs))
			is.NoErr(err)
			go func() {
				time.Sleep(clock.Until(r.sentAt.Add(time.Duration(ms) * time.Millisecond)))
				f.call(f.hosts[0], http.MethodGet, back)
			}()
		}
		time.Sleep(30 * time.Second)
		is.Equal(back.count(), len(refused))
		is.Equal(len(back.refused()), 0)
	})
}

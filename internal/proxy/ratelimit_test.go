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

// The pattern: upstreams name how many requests a second they take from all hosts together,
// and each host's own part of the load is far below that. Time is virtual.

// TestLimitsAreKept: two upstreams of ten name a limit for ten seconds. Grounds: what they
// bear; nobody is refused, since the others have room; and they have half of their share
// again, at the least, from a second after the end on.
func TestLimitsAreKept(t *testing.T) {
	rules := map[string]config.Rule{"look-ups": lookup(), "hedged look-ups": hedged(), "single actions": sale()}
	for name, rule := range rules {
		for _, hosts := range []int{1, 4, 18} {
			for _, limit := range []string{"0", "0.3", "1.2", "2.25", "12"} {
				t.Run(fmt.Sprintf("%s, %d hosts, %s a second", name, hosts, limit), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { limitsAreKept(t, hosts, limit, "least-outstanding", rule) })
				})
			}
		}
	}
}

// TestAllPoliciesKeepLimits: the same under each policy.
func TestAllPoliciesKeepLimits(t *testing.T) {
	for _, policy := range registry.Names() {
		t.Run(policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { limitsAreKept(t, 4, "1.2", policy, lookup()) })
		})
	}
}

func limitsAreKept(t *testing.T, hosts int, limit, policy string, rule config.Rule) {
	is := is.New(t)
	const upstreams, load, lasts = 10, 80.0, 10 * time.Second
	f := newLimitFleet(hosts, upstreams, policy, rule)
	limited := f.ids[:2]
	from := clock.Now().Add(time.Second)
	to := from.Add(lasts)
	time.AfterFunc(time.Until(from), func() { f.upstreams.setLimit(limit, limited...) })
	time.AfterFunc(time.Until(to), func() { f.upstreams.setLimit("", limited...) })
	const after = 8 * time.Second // an upstream that takes nothing is tried every four
	got := f.sendLoad(methodOf(rule), time.Second+lasts+after, load/float64(hosts))
	is.Equal(len(got.refused()), 0)
	for _, id := range limited {
		if most := f.upstreams.maxInWindow(id, from.Add(limitPropagation), to); most > allowedInWindow(limit) {
			t.Errorf("%s got %d in %v, bears %d", id, most, rateWindow, allowedInWindow(limit))
		}
	}
	back := f.upstreams.countBetween(to.Add(after/2+limitPropagation), to.Add(after), limited...)
	is.True(back >= int(load*(after/2-limitPropagation).Seconds()*2/upstreams/2))
}

func methodOf(r config.Rule) string {
	if r.Repeat == config.Repeatable {
		return http.MethodGet
	}
	return http.MethodPost
}

// TestLimitsThatChange: an upstream names another limit every half second.
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

// TestHostsThatHearNothing: each host hears of limits in answers to itself alone.
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

// TestRetriesKeepLimits: an upstream turns everything away, so that each request goes to a
// second one.
func TestRetriesKeepLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(4, 4, "least-outstanding", lookup())
		f.upstreams.rejects[f.ids[3]] = true
		f.upstreams.setLimit("1.2", f.ids[0], f.ids[1])
		from := clock.Now()
		f.sendLoad(http.MethodGet, 20*time.Second, 5)
		for _, id := range f.ids[:2] {
			if most := f.upstreams.maxInWindow(id, from.Add(limitPropagation), clock.Now()); most > allowedInWindow("1.2") {
				t.Errorf("%s got %d", id, most)
			}
		}
	})
}

// TestAllUpstreamsNameLimits: callers ask for twice as much as the upstreams of a service
// take together. Grounds: what they bear, and that nine tenths of it are used; who is refused
// is told so at once, when two hosts were asked for their turns, but for a few that waited
// for a turn of their own host, and those after no longer than a request waits that is still
// answered in time.
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
			synctest.Test(t, func(t *testing.T) { allUpstreamsNameLimits(t, c.hosts, c.loads) })
		})
	}
}

func allUpstreamsNameLimits(t *testing.T, hosts int, loads []float64) {
	is := is.New(t)
	const upstreams, limit, perSecond, lasts = 10, "1.2", 1.2, 30 * time.Second
	rule := lookup()
	rule.TargetLatency = config.Duration(250 * time.Millisecond)
	f := newLimitFleet(hosts, upstreams, "least-outstanding", rule)
	f.upstreams.setLimit(limit, f.ids...)
	for range 3 { // all are known to all
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
	t.Logf("%d asked, %d served: %.2f of what the upstreams take", got.count(), served, used)
	is.True(used > 0.9)
	for _, id := range f.ids {
		if most := f.upstreams.maxInWindow(id, from, clock.Now()); most > allowedInWindow(limit) {
			t.Errorf("%s got %d", id, most)
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

// TestCallersComeBackForATurn: more callers come than there are turns, and each that comes
// back when it was told to is served.
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

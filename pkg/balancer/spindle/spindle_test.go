package spindle_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

const service = 4 * time.Millisecond

var start = time.Unix(1000, 0)

func group(n int) []*balancer.Upstream {
	var all []*balancer.Upstream
	for i := range n {
		all = append(all, &balancer.Upstream{ID: fmt.Sprintf("u%d", i), Slots: 3})
	}
	return all
}

func answer(p balancer.Picker, u *balancer.Upstream, at time.Time, latency time.Duration, o balancer.Outcome) {
	balancer.Finish(p, u.Begin(at.Add(-latency)), balancer.Feedback{Now: at, Latency: latency, Outcome: o})
}

func report(p balancer.Picker, u *balancer.Upstream, at time.Time, inFlight int, age time.Duration) {
	balancer.FinishProbe(p, u, balancer.Feedback{
		Now:    at,
		Report: balancer.Report{Valid: true, InFlight: inFlight, Age: age},
	})
}

// warm feeds the picker responses, so that its averages reflect the service time.
func warm(p balancer.Picker, group []*balancer.Upstream) {
	for i := range 400 {
		latency := service / 2 * time.Duration(1+i%4) / 2
		answer(p, group[i%len(group)], start.Add(-time.Second), latency, balancer.Answered)
	}
}

// shares counts the upstreams and the reasons of many choices.
func shares(t *testing.T, p balancer.Picker, at time.Time) (counts map[*balancer.Upstream]int, reasons map[string]int) {
	t.Helper()
	counts, reasons = map[*balancer.Upstream]int{}, map[string]int{}
	for r := range uint64(400) {
		res, err := p.Pick(balancer.PickInfo{Now: at, Random: balancer.Mix(r)})
		if err != nil {
			t.Fatal(err)
		}
		counts[res.Upstream]++
		reasons[res.Reason]++
	}
	return counts, reasons
}

func TestBadUpstreamsAreAvoided(t *testing.T) {
	cases := []struct {
		name string
		harm func(p balancer.Picker, u *balancer.Upstream)
	}{
		{"failed", func(p balancer.Picker, u *balancer.Upstream) { answer(p, u, start, 0, balancer.Failed) }},
		{"refused", func(p balancer.Picker, u *balancer.Upstream) { answer(p, u, start, 0, balancer.Refused) }},
		{"slow responses", func(p balancer.Picker, u *balancer.Upstream) { answer(p, u, start, 20*service, balancer.Answered) }},
		{"old request without a response", func(_ balancer.Picker, u *balancer.Upstream) { u.Begin(start.Add(-5 * service)) }},
		{"fresh report of a queue", func(p balancer.Picker, u *balancer.Upstream) { report(p, u, start, 9, 0) }},
		{"just joined", func(_ balancer.Picker, u *balancer.Upstream) { u.Added = start }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := group(4)
			p := spindle.Builder{}.Build(balancer.Options{SlowStart: time.Second}).Update(g)
			warm(p, g)
			for _, u := range g {
				report(p, u, start, 1, 0)
			}
			c.harm(p, g[0])
			counts, _ := shares(t, p, start)
			is.Equal(counts[g[0]], 0) // avoided
			is.Equal(len(counts), 3)  // the others are used
		})
	}
}

func TestHarmIsForgotten(t *testing.T) {
	is := is.New(t)
	g := group(4)
	p := spindle.Builder{}.Build(balancer.Options{SlowStart: time.Second}).Update(g)
	warm(p, g)
	answer(p, g[0], start, 0, balancer.Failed)
	answer(p, g[1], start, 0, balancer.Refused)
	report(p, g[2], start, 9, 0)
	g[3].Added = start
	counts, _ := shares(t, p, start.Add(2*time.Second))
	is.Equal(len(counts), 4)
}

func TestEjectionKeepsAFloor(t *testing.T) {
	for failed := range 11 {
		t.Run(fmt.Sprint(failed), func(t *testing.T) {
			is := is.New(t)
			g := group(10)
			p := spindle.Builder{}.Build(balancer.Options{}).Update(g)
			warm(p, g)
			for _, u := range g[:failed] {
				answer(p, u, start, 0, balancer.Failed)
			}
			counts, reasons := shares(t, p, start)
			panicking := failed > 5
			is.Equal(reasons[spindle.ReasonPanic] > 0, panicking)
			for _, u := range g[:failed] {
				is.True(panicking || counts[u] == 0) // ejected unless below EjectFloor
			}
		})
	}
}

func TestHoldsWhileAllAreFull(t *testing.T) {
	is := is.New(t)
	g := group(3)
	p := spindle.Builder{}.Build(balancer.Options{}).Update(g)
	warm(p, g)
	var calls []balancer.Call
	for _, u := range g {
		for range 6 {
			calls = append(calls, u.Begin(start))
		}
	}
	res, err := p.Pick(balancer.PickInfo{Now: start})
	is.Equal(err, balancer.ErrNoSlot)
	is.True(res.RetryAfter > 0)
	res, err = p.Pick(balancer.PickInfo{Now: start, Waited: time.Second})
	is.NoErr(err) // maximum wait reached
	is.Equal(res.Reason, spindle.ReasonWaited)
	for _, c := range calls[:6] {
		balancer.Finish(p, c, balancer.Feedback{Now: start, Latency: service})
	}
	res, err = p.Pick(balancer.PickInfo{Now: start})
	is.NoErr(err)
	is.Equal(res.Upstream, g[0]) // a slot is free there
}

func TestConnectionShareIsKept(t *testing.T) {
	is := is.New(t)
	g := group(1)
	g[0].MaxConnections = 32
	p := spindle.Builder{}.Build(balancer.Options{EntryHosts: 16}).Update(g)
	_, err := p.Pick(balancer.PickInfo{Now: start})
	is.NoErr(err)
	g[0].Begin(start)
	g[0].Begin(start)
	_, err = p.Pick(balancer.PickInfo{Now: start, Waited: time.Hour})
	is.Equal(err, balancer.ErrNoSlot) // 32 connections over 16 hosts are 2 each
}

func TestOwnFailureDomainComesFirst(t *testing.T) {
	is := is.New(t)
	g := group(6)
	for i, u := range g {
		u.FailureDomain = fmt.Sprint("domain-", i%2)
	}
	p := spindle.Builder{}.Build(balancer.Options{FailureDomain: "domain-1"}).Update(g)
	warm(p, g)
	counts, _ := shares(t, p, start)
	is.Equal(counts[g[0]]+counts[g[2]]+counts[g[4]], 0)
	for _, u := range []*balancer.Upstream{g[1], g[3], g[5]} {
		for range 6 {
			u.Begin(start)
		}
	}
	counts, _ = shares(t, p, start)
	is.Equal(counts[g[1]]+counts[g[3]]+counts[g[5]], 0) // local ones are full, so remote ones are used
}

// TestOldReportsDoNotHerd checks that no upstream gets much more than its share if all entry
// hosts have the same old reports.
func TestOldReportsDoNotHerd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 12).Draw(t, "upstreams")
		inFlight := rapid.SliceOfN(rapid.IntRange(0, 12), n, n).Draw(t, "reports")
		age := time.Duration(rapid.IntRange(40, 500).Draw(t, "age ms")) * time.Millisecond
		const hosts, picks = 64, 50
		counts := map[string]int{}
		for host := range hosts {
			g := group(n)
			p := spindle.Builder{}.Build(balancer.Options{Self: host, EntryHosts: hosts}).Update(g)
			warm(p, g)
			for i, u := range g {
				report(p, u, start, inFlight[i], age)
			}
			for r := range picks {
				res, err := p.Pick(balancer.PickInfo{
					Now:    start,
					Random: balancer.Mix(uint64(host*picks + r)),
					Waited: time.Second,
				})
				if err != nil {
					t.Fatal(err)
				}
				counts[res.Upstream.ID]++
			}
		}
		for id, c := range counts {
			if c > 3*hosts*picks/n {
				t.Fatalf("%s got %d of %d choices over %d upstreams", id, c, hosts*picks, n)
			}
		}
	})
}

package probefirst

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

var start = time.Unix(1000, 0)

const slots = 3

// member returns an upstream without a load report.
func member(id, domain string) *balancer.Upstream {
	return &balancer.Upstream{ID: id, Address: id, FailureDomain: domain, Slots: slots}
}

func reportLoad(u *balancer.Upstream, now time.Time, inFlight int, slowdown float64) {
	balancer.FinishProbe(nil, u, balancer.Feedback{Now: now, Report: balancer.Report{Valid: true, InFlight: inFlight, Slots: slots, Slowdown: slowdown}})
}

func failProbe(u *balancer.Upstream, now time.Time) {
	balancer.FinishProbe(nil, u, balancer.Feedback{Now: now, Outcome: balancer.Failed})
}

func pickerOf(members ...*balancer.Upstream) *picker {
	return Builder{}.Build(balancer.Options{FailureDomain: "here"}).Update(members).(*picker)
}

func chosen(t *testing.T, p *picker, info balancer.PickInfo) string {
	t.Helper()
	r, err := p.Pick(info)
	if err != nil {
		t.Fatal(err)
	}
	return r.Upstream.ID
}

func TestQueriesLocalFirstUntilAcceptable(t *testing.T) {
	is := is.New(t)
	a, b, far := member("a", "here"), member("b", "here"), member("far", "there")
	p := pickerOf(far, a, b)
	info := balancer.PickInfo{Now: start}
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{a})
	reportLoad(a, start, 0, 5)
	is.Equal(p.QueryTargets(info, 1), []*balancer.Upstream{b})
	reportLoad(b, start, 3, 5)
	is.Equal(p.QueryTargets(info, 2), []*balancer.Upstream{far}) // both local ones are slow
	reportLoad(far, start, 0, 1)
	is.Equal(len(p.QueryTargets(info, 3)), 0)
	is.Equal(chosen(t, p, info), "far")
	reportLoad(b, start, 0, 1)
	is.Equal(chosen(t, p, info), "b") // as fast, and local
}

func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	reportLoad(a, start, 0, 1)
	is.Equal(len(p.QueryTargets(balancer.PickInfo{Now: start.Add(ReportTTL)}, 0)), 0)
	later := balancer.PickInfo{Now: start.Add(ReportTTL + 1)}
	is.Equal(len(p.QueryTargets(later, 0)), QueriesPerRound)
	_, err := p.Pick(later) // no response: chooses without a report
	is.NoErr(err)
}

func TestRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	var members []*balancer.Upstream
	for i := range 20 {
		members = append(members, member(strconv.Itoa(i), "here"))
	}
	p := pickerOf(members...)
	queries := 0
	for round := 0; ; round++ {
		list := p.QueryTargets(balancer.PickInfo{Now: start}, round)
		if len(list) == 0 {
			break
		}
		queries += len(list)
		for _, u := range list {
			reportLoad(u, start, 5, 5)
		}
	}
	is.Equal(queries, MaxRounds*QueriesPerRound)
}

func TestOwnRequestsCountImmediately(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	reportLoad(a, start, 0, 1)
	reportLoad(b, start, 1, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "a")
	a.Begin(start)
	a.Begin(start)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "b")
}

// TestReportWithoutOwnRequests covers load reports queried by several concurrent requests,
// which include none of these requests.
func TestReportWithoutOwnRequests(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	first, second := a.Mark(), a.Mark()
	report := balancer.Report{Valid: true, Slots: slots, Slowdown: 1}
	balancer.FinishProbe(nil, a, balancer.Feedback{Now: start, Report: report, ProbeSentAt: first})
	call := a.Begin(start)
	balancer.FinishProbe(nil, a, balancer.Feedback{Now: start, Report: report, ProbeSentAt: second})
	is.Equal(a.Load().InFlight, 1)
	balancer.Finish(nil, call, balancer.Feedback{Now: start})
	is.Equal(a.Load().InFlight, 0)
}

func TestFailuresRaiseCost(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	failProbe(a, start)
	now := start.Add(ReportTTL + 1)
	reportLoad(a, now, 0, 1)
	reportLoad(b, now, 2, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: now}), "b")
	later := now.Add(10 * balancer.FailureRateDecay)
	reportLoad(a, later, 0, 1)
	reportLoad(b, later, 2, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: later}), "a")
}

func TestFullUpstreamsHoldTheRequest(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	reportLoad(a, start, slots, 1)
	_, err := p.Pick(balancer.PickInfo{Now: start})
	is.True(errors.Is(err, balancer.ErrNoSlot)) // a slowdown is assumed
	_, err = p.Pick(balancer.PickInfo{Now: start, Exclude: []*balancer.Upstream{a}})
	is.True(errors.Is(err, balancer.ErrNoUpstream))
}

func TestHedgeNeedsAFastUpstream(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	info := balancer.PickInfo{Now: start, Hedge: true}
	_, err := p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot)) // no report
	reportLoad(a, start, 0, 5)
	_, err = p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot))
	reportLoad(a, start, 0, 1)
	is.Equal(chosen(t, p, info), "a")
}

// serve finishes n requests to u, each sent while inFlight others were there.
func serve(p *picker, u *balancer.Upstream, n, inFlight int, latency time.Duration) {
	for range n {
		reportLoad(u, start, inFlight, 1)
		call := u.Begin(start)
		balancer.Finish(p, call, balancer.Feedback{
			Now:     start.Add(latency),
			Latency: latency,
			Target:  300 * time.Millisecond,
			Report:  balancer.Report{Valid: true, InFlight: inFlight, Slots: slots, Slowdown: 1},
		})
	}
}

func TestLearnsThatFullUpstreamsAreNotSlower(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	serve(p, a, 60, 0, 100*time.Millisecond)
	serve(p, a, 60, slots-1, 100*time.Millisecond)
	is.True(p.contention.estimate().factor < MaxQueueingSlowdown)
	reportLoad(a, start, slots+MaxWaiting-1, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "a") // requests may queue there
	next := Builder{}.Build(balancer.Options{FailureDomain: "here"}).Update(nil).(*picker)
	is.True(!next.contention.estimate().known) // the estimate is not shared between groups
}

func TestLearnsThatFullUpstreamsAreSlower(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	serve(p, a, 60, 0, 100*time.Millisecond)
	serve(p, a, 60, slots-1, 200*time.Millisecond)
	is.True(p.contention.estimate().factor > 1.8)
	is.True(p.contention.estimate().factor < 2.1)
}

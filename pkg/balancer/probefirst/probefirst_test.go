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

// member returns an upstream; one with a report said it just now.
func member(id, domain string) *balancer.Upstream {
	return &balancer.Upstream{ID: id, Address: id, FailureDomain: domain, Slots: slots}
}

func tell(u *balancer.Upstream, now time.Time, inFlight int, slowdown float64) {
	balancer.FinishProbe(nil, u, balancer.Feedback{Now: now, Report: balancer.Report{Valid: true, InFlight: inFlight, Slots: slots, Slowdown: slowdown}})
}

func fail(u *balancer.Upstream, now time.Time) {
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

func TestAsksNearFirstAndStopsWhenOneIsGood(t *testing.T) {
	is := is.New(t)
	a, b, far := member("a", "here"), member("b", "here"), member("far", "there")
	p := pickerOf(far, a, b)
	info := balancer.PickInfo{Now: start}
	is.Equal(p.QueryTargets(info, 0), []*balancer.Upstream{a})
	tell(a, start, 0, 5)
	is.Equal(p.QueryTargets(info, 1), []*balancer.Upstream{b})
	tell(b, start, 3, 5)
	is.Equal(p.QueryTargets(info, 2), []*balancer.Upstream{far}) // both are slow
	tell(far, start, 0, 1)
	is.Equal(len(p.QueryTargets(info, 3)), 0)
	is.Equal(chosen(t, p, info), "far")
	tell(b, start, 0, 1)
	is.Equal(chosen(t, p, info), "b") // as good, and nearer
}

func TestReportsGrowOld(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	tell(a, start, 0, 1)
	is.Equal(len(p.QueryTargets(balancer.PickInfo{Now: start.Add(FreshFor)}, 0)), 0)
	later := balancer.PickInfo{Now: start.Add(FreshFor + 1)}
	is.Equal(len(p.QueryTargets(later, 0)), QueriesPerRound)
	_, err := p.Pick(later) // nobody answered: chooses all the same
	is.NoErr(err)
}

func TestRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	var members []*balancer.Upstream
	for i := range 20 {
		members = append(members, member(strconv.Itoa(i), "here"))
	}
	p := pickerOf(members...)
	asked := 0
	for round := 0; ; round++ {
		list := p.QueryTargets(balancer.PickInfo{Now: start}, round)
		if len(list) == 0 {
			break
		}
		asked += len(list)
		for _, u := range list {
			tell(u, start, 5, 5)
		}
	}
	is.Equal(asked, MaxRounds*QueriesPerRound)
}

func TestOwnSendsCountAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	tell(a, start, 0, 1)
	tell(b, start, 1, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "a")
	a.Begin(start)
	a.Begin(start)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "b")
}

// TestReportThatMayMissOwnSends: several requests ask at the same time; the
// answers hold none of them.
func TestReportThatMayMissOwnSends(t *testing.T) {
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

func TestFailedAnswersWeigh(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	fail(a, start)
	now := start.Add(FreshFor + 1)
	tell(a, now, 0, 1)
	tell(b, now, 2, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: now}), "b")
	later := now.Add(10 * balancer.FailureRateDecay)
	tell(a, later, 0, 1)
	tell(b, later, 2, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: later}), "a")
}

func TestFullUpstreamsKeepTheRequestHere(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	tell(a, start, slots, 1)
	_, err := p.Pick(balancer.PickInfo{Now: start})
	is.True(errors.Is(err, balancer.ErrNoSlot)) // it is assumed to slow down when full
	_, err = p.Pick(balancer.PickInfo{Now: start, Exclude: []*balancer.Upstream{a}})
	is.True(errors.Is(err, balancer.ErrNoUpstream))
}

func TestSecondAttemptNeedsAFastUpstream(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	info := balancer.PickInfo{Now: start, Hedge: true}
	_, err := p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot)) // nothing is known
	tell(a, start, 0, 5)
	_, err = p.Pick(info)
	is.True(errors.Is(err, balancer.ErrNoSlot))
	tell(a, start, 0, 1)
	is.Equal(chosen(t, p, info), "a")
}

// serve ends n requests that were sent with inFlight others there.
func serve(p *picker, u *balancer.Upstream, n, inFlight int, latency time.Duration) {
	for range n {
		tell(u, start, inFlight, 1)
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
	is.True(p.crowding.learned().factor < MaxQueueingSlowdown)
	tell(a, start, slots+MaxWaiting-1, 1)
	is.Equal(chosen(t, p, balancer.PickInfo{Now: start}), "a") // some may wait there
	next := Builder{}.Build(balancer.Options{FailureDomain: "here"}).Update(nil).(*picker)
	is.True(!next.crowding.learned().known) // another group knows nothing of it
}

func TestLearnsThatFullUpstreamsAreSlower(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	serve(p, a, 60, 0, 100*time.Millisecond)
	serve(p, a, 60, slots-1, 200*time.Millisecond)
	is.True(p.crowding.learned().factor > 1.8)
	is.True(p.crowding.learned().factor < 2.1)
}

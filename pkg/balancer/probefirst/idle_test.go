package probefirst

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// These tests use upstreams with two slots, of which the last one slows processing by 1.7,
// mostly idle under normal load and mostly busy in a burst.

// contended returns a picker with a known slowdown of the last slots, and its upstreams,
// which have not been queried yet.
func contended(n int) (*picker, []*balancer.Upstream) {
	var list []*balancer.Upstream
	for i := range n {
		list = append(list, withSlots(fmt.Sprint("i-", i), 2, 0))
	}
	p := pickerWithSlowdown(list[0], 1.7)
	next := *p
	next.local, next.home, next.others = list, list, nil
	return &next, list
}

// answerProbe records the response of an upstream to a probe.
func answerProbe(p *picker, u *balancer.Upstream, info balancer.PickInfo, inFlight int) {
	balancer.FinishProbe(p, u, balancer.Feedback{Now: info.Now, ProbeSentAt: u.Mark(),
		Report: balancer.Report{Valid: true, InFlight: inFlight, Slots: 2, Slowdown: 1}})
}

// queriesUntilChosen returns the number of queries for one request. The upstreams respond
// with the given numbers of requests in flight, cyclically.
func queriesUntilChosen(p *picker, info balancer.PickInfo, inFlight ...int) int {
	queries := 0
	for {
		list := p.QueryTargets(info, queries)
		if len(list) == 0 {
			return queries
		}
		answerProbe(p, list[0], info, inFlight[queries%len(inFlight)])
		queries++
	}
}

// TestQueriesOnForIdleUpstreams checks that an upstream with only its last slot free does not
// end the queries while many upstreams are idle, and does if hardly any is.
func TestQueriesOnForIdleUpstreams(t *testing.T) {
	is := is.New(t)
	p, _ := contended(40)
	info := urgent()
	info.Now = info.Now.Add(ReportTTL * 3) // no report is fresh
	is.Equal(queriesUntilChosen(p, info, 1, 1, 0), 3)
	for second := range 20 { // a burst
		info.Now = info.Now.Add(ReportTTL * 3)
		info.Random = uint64(second * 7)
		queriesUntilChosen(p, info, 1)
	}
	info.Now = info.Now.Add(ReportTTL * 3)
	is.Equal(queriesUntilChosen(p, info, 1, 0), 1)
	for range 8 { // the burst is over: upstreams are found idle
		info.Now = info.Now.Add(ReportTTL * 3)
		queriesUntilChosen(p, info, 0)
	}
	info.Now = info.Now.Add(ReportTTL * 3)
	is.Equal(queriesUntilChosen(p, info, 1, 0), 2)
}

// TestRequestResponsesAreNoSamples checks that responses to requests do not change the idle
// share: an upstream that has just finished a request is idle more often than others, so its
// load is no sample of that share.
func TestRequestResponsesAreNoSamples(t *testing.T) {
	is := is.New(t)
	p, list := contended(4)
	for range 20 {
		answerProbe(p, list[0], urgent(), 2)
	}
	is.True(!p.idle.worthQuerying())
	for range 40 {
		c := list[1].Begin(urgent().Now)
		balancer.Finish(p, c, balancer.Feedback{Now: urgent().Now,
			Report: balancer.Report{Valid: true, InFlight: 0, Slots: 2, Slowdown: 1}})
	}
	is.True(!p.idle.worthQuerying())
}

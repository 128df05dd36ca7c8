package probefirst

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// The pattern: upstreams with two slots, whose last slot slows work by 1.7, mostly idle
// in calm seconds and mostly busy in a burst. A third of them is slow at any moment.

// crowded is a picker that has learned the slowdown of the last slots, with upstreams
// that were not asked yet.
func crowded(n int) (*picker, []*balancer.Upstream) {
	var list []*balancer.Upstream
	for i := range n {
		list = append(list, withSlots(fmt.Sprint("i-", i), 2, 0))
	}
	p := learnt(list[0], 1.7)
	next := *p
	next.near, next.home, next.rest = list, list, nil
	return &next, list
}

// answers lets an upstream answer a question.
func answers(p *picker, u *balancer.Upstream, info balancer.PickInfo, inFlight int) {
	balancer.FinishProbe(p, u, balancer.Feedback{Now: info.Now, ProbeSentAt: u.Mark(),
		Report: balancer.Report{Valid: true, InFlight: inFlight, Slots: 2, Slowdown: 1}})
}

// questionsUntilChosen asks for one request; the upstreams answer with so many in flight
// in turn.
func questionsUntilChosen(p *picker, info balancer.PickInfo, inFlight ...int) int {
	asked := 0
	for {
		list := p.QueryTargets(info, asked)
		if len(list) == 0 {
			return asked
		}
		answers(p, list[0], info, inFlight[asked%len(inFlight)])
		asked++
	}
}

// TestAsksOnForIdleUpstreams: where many are idle, one with a last slot is no end of the
// questions; where hardly any is, it is.
func TestAsksOnForIdleUpstreams(t *testing.T) {
	is := is.New(t)
	p, _ := crowded(40)
	info := hurried()
	info.Now = info.Now.Add(FreshFor * 3) // no report is fresh
	is.Equal(questionsUntilChosen(p, info, 1, 1, 0), 3)
	for second := range 20 { // a burst
		info.Now = info.Now.Add(FreshFor * 3)
		info.Random = uint64(second * 7)
		questionsUntilChosen(p, info, 1)
	}
	info.Now = info.Now.Add(FreshFor * 3)
	is.Equal(questionsUntilChosen(p, info, 1, 0), 1)
	for range 8 { // it is over: what is found idle is enough
		info.Now = info.Now.Add(FreshFor * 3)
		questionsUntilChosen(p, info, 0)
	}
	info.Now = info.Now.Add(FreshFor * 3)
	is.Equal(questionsUntilChosen(p, info, 1, 0), 2)
}

// TestAnswersToRequestsAreNoQuestions: an upstream that has just answered is more idle
// than others, and says nothing of them.
func TestAnswersToRequestsAreNoQuestions(t *testing.T) {
	is := is.New(t)
	p, list := crowded(4)
	for range 20 {
		answers(p, list[0], hurried(), 2)
	}
	is.True(!p.idle.worthAsking())
	for range 40 {
		c := list[1].Begin(hurried().Now)
		balancer.Finish(p, c, balancer.Feedback{Now: hurried().Now,
			Report: balancer.Report{Valid: true, InFlight: 0, Slots: 2, Slowdown: 1}})
	}
	is.True(!p.idle.worthAsking())
}

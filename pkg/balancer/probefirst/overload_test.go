package probefirst

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// These tests hold the choice under a load that the upstreams can't do in time.

const usual = 100 * time.Millisecond

// hurried is a request with two more service times to its target.
func hurried() balancer.PickInfo {
	return balancer.PickInfo{Now: start, ExpectedLatency: usual, TargetLeft: 2 * usual, DeadlineLeft: 20 * usual}
}

// withSlots returns an upstream that reports that many busy slots of n.
func withSlots(id string, n, inFlight int) *balancer.Upstream {
	u := &balancer.Upstream{ID: id, Address: id, FailureDomain: "here", Slots: n}
	report := balancer.Report{Valid: true, InFlight: inFlight, Slots: n, Slowdown: 1}
	balancer.FinishProbe(nil, u, balancer.Feedback{Now: start, Report: report})
	return u
}

func refuses(p *picker, info balancer.PickInfo) bool {
	_, err := p.Pick(info)
	return errors.Is(err, balancer.ErrNoSlot)
}

// TestFullOnesEndNoQuestions: the answer of an upstream without room does not keep
// the request from asking others.
func TestFullOnesEndNoQuestions(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	tell(a, start, slots, 1)
	is.Equal(p.QueryTargets(hurried(), 1), []*balancer.Upstream{b})
	tell(b, start, 0, 1.5)
	is.Equal(len(p.QueryTargets(hurried(), 2)), 0)
	is.Equal(chosen(t, p, hurried()), "b") // dearer, but it has room
}

// TestWaitsForAFastUpstream as long as a slow one would cost.
func TestWaitsForAFastUpstream(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	tell(a, start, 0, 5)
	info := hurried()
	is.True(refuses(p, info))
	info.Waited = 3 * usual
	is.True(refuses(p, info))
	info.Waited = 4 * usual // as much as is lost there
	is.Equal(chosen(t, p, info), "a")
	info.DeadlineLeft = 4 * usual // it would not be done by then
	is.True(refuses(p, info))
	info = hurried()
	info.TargetLeft = 6 * usual // in time all the same
	is.Equal(chosen(t, p, info), "a")
	info.ExpectedLatency = 0 // nothing is known
	info.TargetLeft = usual
	is.Equal(chosen(t, p, info), "a")
}

// learnt returns a picker that has learned how much slower the last slots are.
func learnt(u *balancer.Upstream, factor float64) *picker {
	p := pickerOf(u)
	for range windowSize {
		p.crowding.quiet.add(0)
		p.crowding.full.add(math.Log(factor))
	}
	return p
}

// TestLastSlots: where full upstreams do less in total, their last slots stay free.
func TestLastSlots(t *testing.T) {
	for _, test := range []struct {
		slots  int
		factor float64
		room   int
	}{
		{1, 3, 1}, {2, 1.6, 2}, {2, 2.5, 1}, {3, 1.65, 2}, {3, 1.4, 3}, {6, 1.65, 4}, {6, 1.4, 6},
		{16, 1.65, 12}, {16, 1.31, 16}, {3, 1, 3 + MaxWaiting}, {16, 1.2, 16 + MaxWaiting},
	} {
		is := is.New(t)
		now := hurried()
		now.TargetLeft = 10 * usual // cost alone keeps nothing waiting
		last := learnt(withSlots("a", test.slots, test.room-1), test.factor)
		full := learnt(withSlots("a", test.slots, test.room), test.factor)
		is.True(!refuses(last, now))
		is.True(refuses(full, now))
	}
}

// TestLastSlotsAreTried now and then, so that their speed stays known.
func TestLastSlotsAreTried(t *testing.T) {
	is := is.New(t)
	idle, full := withSlots("idle", slots, 0), withSlots("full", slots, slots-1)
	p := learnt(full, 2)
	p.near = append(p.near, idle)
	info := hurried()
	for range tryEvery {
		is.Equal(chosen(t, p, info), "idle")
	}
	info.Exclude = []*balancer.Upstream{idle}
	is.Equal(chosen(t, p, info), "full")
	is.True(refuses(p, info))
	is.Equal(chosen(t, p, hurried()), "idle")
	is.True(refuses(p, info))
}

// TestAllSlotsUntilKnown: nothing is left free on a guess.
func TestAllSlotsUntilKnown(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3, 6, 16} {
		is.True(!refuses(pickerOf(withSlots("a", n, n-1)), hurried()))
		is.True(refuses(pickerOf(withSlots("a", n, n)), hurried()))
	}
}

// TestOtherRequestsDoNotMislead: one request in eight takes next to no time.
func TestOtherRequestsDoNotMislead(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	for range 10 {
		serve(p, a, 7, 0, usual)
		serve(p, a, 1, 0, time.Millisecond)
		serve(p, a, 7, slots-1, 2*usual)
		serve(p, a, 1, slots-1, time.Millisecond)
	}
	is.True(p.crowding.learned().factor > 1.9)
	is.True(p.crowding.learned().factor < 2.1)
}

// TestSlowdownIsForgotten after a release.
func TestSlowdownIsForgotten(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	serve(p, a, windowSize, 0, usual)
	serve(p, a, windowSize, slots-1, 2*usual)
	serve(p, a, windowSize, slots-1, usual)
	is.True(p.crowding.learned().factor < MaxQueueingSlowdown)
}

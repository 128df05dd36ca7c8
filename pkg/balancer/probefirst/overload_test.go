package probefirst

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// These tests cover the choice under a load that the upstreams can't serve in time.

const usualLatency = 100 * time.Millisecond

// urgent returns the input for a request with two service times left to its target.
func urgent() balancer.PickInfo {
	return balancer.PickInfo{Now: start, ExpectedLatency: usualLatency, TargetLeft: 2 * usualLatency, DeadlineLeft: 20 * usualLatency}
}

// withSlots returns an upstream with n slots that has reported inFlight requests.
func withSlots(id string, n, inFlight int) *balancer.Upstream {
	u := &balancer.Upstream{ID: id, Address: id, FailureDomain: "here", Slots: n}
	report := balancer.Report{Valid: true, InFlight: inFlight, Slots: n, Slowdown: 1}
	balancer.FinishProbe(nil, u, balancer.Feedback{Now: start, Report: report})
	return u
}

func rejects(p *picker, info balancer.PickInfo) bool {
	_, err := p.Pick(info)
	return errors.Is(err, balancer.ErrNoSlot)
}

// TestFullUpstreamsDoNotEndQueries checks that others are queried after an upstream that is
// full.
func TestFullUpstreamsDoNotEndQueries(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "here"), member("b", "here")
	p := pickerOf(a, b)
	reportLoad(a, start, slots, 1)
	is.Equal(p.QueryTargets(urgent(), 1), []*balancer.Upstream{b})
	reportLoad(b, start, 0, 1.5)
	is.Equal(len(p.QueryTargets(urgent(), 2)), 0)
	is.Equal(chosen(t, p, urgent()), "b") // higher cost, but not full
}

// TestWaitsForAFastUpstream checks that a request waits for as long as the slow upstream
// would delay it.
func TestWaitsForAFastUpstream(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	reportLoad(a, start, 0, 5)
	info := urgent()
	is.True(rejects(p, info))
	info.Waited = 3 * usualLatency
	is.True(rejects(p, info))
	info.Waited = 4 * usualLatency // as long as the delay there
	is.Equal(chosen(t, p, info), "a")
	info.DeadlineLeft = 4 * usualLatency // can't be met there
	is.True(rejects(p, info))
	info = urgent()
	info.TargetLeft = 6 * usualLatency // met there
	is.Equal(chosen(t, p, info), "a")
	info.ExpectedLatency = 0 // unknown
	info.TargetLeft = usualLatency
	is.Equal(chosen(t, p, info), "a")
}

// pickerWithSlowdown returns a picker whose estimate of the slowdown is factor.
func pickerWithSlowdown(u *balancer.Upstream, factor float64) *picker {
	p := pickerOf(u)
	for range windowSize {
		p.contention.low.add(0)
		p.contention.high.add(math.Log(factor))
	}
	return p
}

// TestLastSlots checks that the last slots stay free if using them lowers the throughput.
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
		now := urgent()
		now.TargetLeft = 10 * usualLatency // no request waits because of the cost
		last := pickerWithSlowdown(withSlots("a", test.slots, test.room-1), test.factor)
		full := pickerWithSlowdown(withSlots("a", test.slots, test.room), test.factor)
		is.True(!rejects(last, now))
		is.True(rejects(full, now))
	}
}

// TestLastSlotsAreExplored checks that the last slots are used from time to time, so that
// the estimate stays current.
func TestLastSlotsAreExplored(t *testing.T) {
	is := is.New(t)
	idle, full := withSlots("idle", slots, 0), withSlots("full", slots, slots-1)
	p := pickerWithSlowdown(full, 2)
	p.local = append(p.local, idle)
	info := urgent()
	for range explorationInterval {
		is.Equal(chosen(t, p, info), "idle")
	}
	info.Exclude = []*balancer.Upstream{idle}
	is.Equal(chosen(t, p, info), "full")
	is.True(rejects(p, info))
	is.Equal(chosen(t, p, urgent()), "idle")
	is.True(rejects(p, info))
}

// TestAllSlotsUntilKnown checks that no slot is left free before there is an estimate.
func TestAllSlotsUntilKnown(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3, 6, 16} {
		is.True(!rejects(pickerOf(withSlots("a", n, n-1)), urgent()))
		is.True(rejects(pickerOf(withSlots("a", n, n)), urgent()))
	}
}

// TestEstimateIgnoresOutliers checks the estimate when one request in eight takes almost no
// time.
func TestEstimateIgnoresOutliers(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	for range 10 {
		serve(p, a, 7, 0, usualLatency)
		serve(p, a, 1, 0, time.Millisecond)
		serve(p, a, 7, slots-1, 2*usualLatency)
		serve(p, a, 1, slots-1, time.Millisecond)
	}
	is.True(p.contention.estimate().factor > 1.9)
	is.True(p.contention.estimate().factor < 2.1)
}

// TestSlowdownIsForgotten checks that the estimate follows a new release without a slowdown.
func TestSlowdownIsForgotten(t *testing.T) {
	is := is.New(t)
	a := member("a", "here")
	p := pickerOf(a)
	serve(p, a, windowSize, 0, usualLatency)
	serve(p, a, windowSize, slots-1, 2*usualLatency)
	serve(p, a, windowSize, slots-1, usualLatency)
	is.True(p.contention.estimate().factor < MaxQueueingSlowdown)
}

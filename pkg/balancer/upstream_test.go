package balancer_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

var start = time.Unix(1000, 0)

// noopPicker is a picker that is no Observer.
type noopPicker struct{}

func (noopPicker) Pick(balancer.PickInfo) (balancer.Result, error) {
	return balancer.Result{}, balancer.ErrNoUpstream
}

func at(d time.Duration) time.Time { return start.Add(d) }

func TestReportExcludesOwnRequests(t *testing.T) {
	is := is.New(t)
	u := &balancer.Upstream{}
	_, _, ok := u.RemoteInFlight(start)
	is.True(!ok)
	u.Begin(start)
	c := u.Begin(start)
	balancer.Finish(noopPicker{}, c, balancer.Feedback{
		Now:    at(10 * time.Millisecond),
		Report: balancer.Report{Valid: true, InFlight: 7, Age: 4 * time.Millisecond},
	})
	n, age, ok := u.RemoteInFlight(at(11 * time.Millisecond))
	is.True(ok)
	is.Equal(n, int64(5))
	is.Equal(age, 5*time.Millisecond)
	balancer.FinishProbe(noopPicker{}, u, balancer.Feedback{
		Now:    at(12 * time.Millisecond),
		Report: balancer.Report{Valid: true, InFlight: 1, Age: 8 * time.Millisecond},
	})
	n, _, _ = u.RemoteInFlight(at(12 * time.Millisecond))
	is.Equal(n, int64(5)) // an older sample does not replace a newer
}

func TestOldestAge(t *testing.T) {
	is := is.New(t)
	u := &balancer.Upstream{}
	is.Equal(u.OldestAge(start), time.Duration(0))
	first := u.Begin(start)
	u.Begin(at(time.Millisecond))
	is.Equal(u.OldestAge(at(5*time.Millisecond)), 5*time.Millisecond)
	balancer.Finish(noopPicker{}, first, balancer.Feedback{Now: at(5 * time.Millisecond)})
	is.Equal(u.OldestAge(at(5*time.Millisecond)), 4*time.Millisecond)
}

func TestPeakLatencyRisesAtOnceAndDecays(t *testing.T) {
	is := is.New(t)
	u := &balancer.Upstream{}
	for i, latency := range []time.Duration{2, 50, 2} {
		now := at(time.Duration(i) * time.Millisecond)
		balancer.Finish(noopPicker{}, u.Begin(now), balancer.Feedback{Now: now, Latency: latency * time.Millisecond})
	}
	soon := u.PeakLatency(at(3 * time.Millisecond))
	is.True(soon > 40*time.Millisecond)
	is.True(u.PeakLatency(at(500*time.Millisecond)) < time.Millisecond)
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	u := &balancer.Upstream{}
	end := func(o balancer.Outcome) {
		balancer.Finish(noopPicker{}, u.Begin(start), balancer.Feedback{Now: start, Outcome: o})
	}
	end(balancer.Failed)
	end(balancer.Failed)
	n, age := u.Failures(at(time.Second))
	is.Equal(n, int64(2))
	is.Equal(age, time.Second)
	end(balancer.Cancelled) // not counted
	n, _ = u.Failures(start)
	is.Equal(n, int64(2))
	end(balancer.Answered)
	n, _ = u.Failures(start)
	is.Equal(n, int64(0))
	_, refused := u.SinceRefusal(start)
	is.True(!refused)
	end(balancer.Refused)
	age, refused = u.SinceRefusal(at(time.Second))
	is.True(refused)
	is.Equal(age, time.Second)
	is.Equal(u.Outstanding(), int64(0))
}

// TestConcurrentCalls checks that nothing stays outstanding, whether the start time was
// tracked or not.
func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	u := &balancer.Upstream{}
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for range 200 {
				c := u.Begin(start)
				balancer.Finish(noopPicker{}, c, balancer.Feedback{Now: at(time.Millisecond), Latency: time.Millisecond})
			}
		})
	}
	wg.Wait()
	is.Equal(u.Outstanding(), int64(0))
	is.Equal(u.OldestAge(at(time.Hour)), time.Duration(0))
}

func TestTwoEligibleReturnsDifferentMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 9).Draw(t, "members")
		var members []*balancer.Upstream
		for range n {
			members = append(members, &balancer.Upstream{})
		}
		tried := rapid.IntRange(0, n).Draw(t, "tried")
		info := balancer.PickInfo{Random: rapid.Uint64().Draw(t, "random"), Exclude: members[:tried]}
		a, b := balancer.TwoEligible(members, info)
		if (a != nil) != (n-tried > 0) || (b != nil) != (n-tried > 1) {
			t.Fatalf("%d untried members gave %v, %v", n-tried, a != nil, b != nil)
		}
		if a != nil && (a == b || info.Excludes(a) || b != nil && info.Excludes(b)) {
			t.Fatal("drew a member twice or one that was tried")
		}
	})
}

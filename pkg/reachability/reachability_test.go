package reachability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

func suspected(_ Suspicion, is bool) bool { return is }

// TestFailuresOfOneUpstream guards against taking the crash of one upstream for a lost link.
func TestFailuresOfOneUpstream(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for i := range 10 {
		is.True(!suspected(tracker.Failed(start.Add(time.Duration(i)*time.Millisecond), "a", 20)))
	}
	is.True(!tracker.Lost())
}

// TestLostAndRegained guards against a host that does not notice that it is cut off from all
// upstreams, or that it no longer is.
func TestLostAndRegained(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(!suspected(tracker.Failed(start, "a", 20)))
	is.True(!suspected(tracker.Failed(start, "b", 20)))
	s, ok := tracker.Failed(start, "c", 20)
	is.True(ok)
	is.True(!suspected(tracker.Failed(start, "d", 20))) // reported once
	is.Equal(tracker.Failing(), []string{"a", "b", "c"})
	is.True(!tracker.Lost())
	is.True(tracker.Confirm(start, s))
	is.True(tracker.Lost())
	tracker.Reject(s) // comes too late
	is.True(tracker.Lost())
	regained, lostFor := tracker.Succeeded(start.Add(time.Second))
	is.True(regained)
	is.Equal(lostFor, time.Second)
	is.True(!tracker.Lost())
}

// TestSuccessInBetween guards against adding up failures of upstreams while others respond.
func TestSuccessInBetween(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for _, upstream := range []string{"a", "b", "c", "d", "e", "f"} {
		is.True(!suspected(tracker.Failed(start, upstream, 20)))
		regained, _ := tracker.Succeeded(start)
		is.True(!regained)
	}
}

// TestOldFailures guards against adding up failures over minutes on a host with few requests.
func TestOldFailures(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for i, upstream := range []string{"a", "b", "c", "d"} {
		is.True(!suspected(tracker.Failed(start.Add(time.Duration(i)*FailureRetention/2), upstream, 20)))
	}
}

// TestFewUpstreams guards against a deployment with fewer upstreams than LostAfter whose loss
// is never noticed.
func TestFewUpstreams(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(!suspected(tracker.Failed(start, "a", 2)))
	is.True(suspected(tracker.Failed(start, "b", 2)))
}

// TestReachedWhileSuspected guards against a host that considers itself cut off because it was
// slow: an upstream is reached before the loss is confirmed, and others fail after that.
func TestReachedWhileSuspected(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	fail := func() (s Suspicion) {
		for _, upstream := range []string{"a", "b", "c"} {
			s, _ = tracker.Failed(start, upstream, 20)
		}
		return s
	}
	first := fail()
	regained, _ := tracker.Succeeded(start)
	is.True(!regained) // it was not lost
	second := fail()
	is.True(second != first)
	is.True(!tracker.Confirm(start, first))
	tracker.Reject(first)
	is.True(!tracker.Lost())
	tracker.Reject(second)
	is.True(!tracker.Confirm(start, second))
	third := fail() // all three count anew
	is.True(tracker.Confirm(start, third))
}

// TestDials guards against ascribing the crash of one upstream to this host's links, and against
// failures that are never forgotten.
func TestDials(t *testing.T) {
	is := is.New(t)
	var d Dials
	failing := func(now time.Time, upstream string) [2]bool {
		this, several := d.Failing(now, upstream, 20)
		return [2]bool{this, several}
	}
	d.Failed(start, "a")
	d.Failed(start, "a")
	is.Equal(failing(start, "a"), [2]bool{true, false})
	d.Failed(start, "b")
	is.Equal(failing(start, "a"), [2]bool{true, true})
	is.Equal(failing(start, "c"), [2]bool{false, true})
	d.Succeeded(start, "a")
	is.Equal(failing(start, "a"), [2]bool{false, false})
	is.Equal(failing(start.Add(FailureRetention), "b"), [2]bool{false, false})
	_, several := d.Failing(start, "b", 1)
	is.True(several) // the only upstream
	for i := range 100 {
		d.Failed(start, string(rune('a'+i)))
	}
	is.Equal(len(d.failures), maxDialFailures)
}

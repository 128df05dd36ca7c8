package reachability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// TestFailuresOfOneUpstream guards against taking the crash of one upstream for a lost link.
func TestFailuresOfOneUpstream(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for i := range 10 {
		is.True(!tracker.Failed(start.Add(time.Duration(i)*time.Millisecond), "a", 20))
	}
	is.True(!tracker.Lost())
}

// TestLostAndRegained guards against a host that does not notice that it is cut off from all
// upstreams, or that it no longer is.
func TestLostAndRegained(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(!tracker.Failed(start, "a", 20))
	is.True(!tracker.Failed(start, "b", 20))
	is.True(tracker.Failed(start, "c", 20))
	is.True(!tracker.Failed(start, "d", 20)) // reported once
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
		is.True(!tracker.Failed(start, upstream, 20))
		regained, _ := tracker.Succeeded(start)
		is.True(!regained)
	}
}

// TestOldFailures guards against adding up failures over minutes on a host with few requests.
func TestOldFailures(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for i, upstream := range []string{"a", "b", "c", "d"} {
		is.True(!tracker.Failed(start.Add(time.Duration(i)*FailureRetention/2), upstream, 20))
	}
}

// TestFewUpstreams guards against a deployment with fewer upstreams than LostAfter whose loss
// is never noticed.
func TestFewUpstreams(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(!tracker.Failed(start, "a", 2))
	is.True(tracker.Failed(start, "b", 2))
}

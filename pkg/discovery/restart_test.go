package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bornAt is an entry of one start of an upstream.
func bornAt(born int64, revision uint64, draining bool) Upstream {
	u := entryOf("i-1", revision)
	u.Born, u.Draining = born, draining
	return u
}

func only(t *testing.T, s *Set) Upstream {
	t.Helper()
	list := s.Upstreams("a")
	if len(list) != 1 {
		t.Fatalf("%d upstreams, not one", len(list))
	}
	return list[0]
}

// TestDrainingIsOfOneStart: an upstream that drained, and starts again under its id,
// takes requests.
func TestDrainingIsOfOneStart(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(100, 5, true))
	s.Put(at(1), bornAt(200, 6, false))
	u := only(t, s)
	is.True(!u.Draining)
	is.Equal(u.Start, uint64(2))
	s.Put(at(2), bornAt(200, 7, true))
	s.Put(at(3), bornAt(200, 8, false)) // a write that overtook another
	is.True(only(t, s).Draining)
	is.Equal(only(t, s).Start, uint64(2))
}

// TestRestartAfterItVanished: also when the entry of the earlier start had gone.
func TestRestartAfterItVanished(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(100, 5, true))
	s.Remove(at(1), "i-1", 6)
	s.Put(at(2), bornAt(200, 7, false))
	is.True(!only(t, s).Draining)
	is.Equal(only(t, s).Start, uint64(2))
}

// TestLateNewsOfAnEarlierStart changes nothing about the one that runs, in whatever way
// it comes.
func TestLateNewsOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(100, 5, false))
	s.Put(at(1), bornAt(200, 7, false))
	s.Put(at(2), bornAt(100, 6, true)) // an old revision
	s.Remove(at(3), "i-1", 6)
	is.True(!only(t, s).Draining)
	s.Put(at(4), bornAt(100, 8, true)) // a write that arrived late in the store
	is.True(!only(t, s).Draining)
	s.Put(at(5), bornAt(200, 9, false)) // the next one of the upstream that runs
	s.Tick(at(10_000))
	is.True(!only(t, s).Draining)
	is.Equal(only(t, s).Start, uint64(2))
}

// TestClockThatWasSetBack: a start that seems earlier than the one before is believed
// when no write of that one follows.
func TestClockThatWasSetBack(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(200, 5, true))
	s.Put(at(100), bornAt(150, 6, false))
	is.True(only(t, s).Draining)
	s.Put(at(1600), bornAt(150, 7, false))
	s.Tick(at(4599))
	is.True(only(t, s).Draining)
	s.Tick(at(4600))
	is.True(!only(t, s).Draining)
	is.Equal(only(t, s).Start, uint64(2))
	is.Equal(only(t, s).Born, int64(150))
}

// TestStartsThatAreNotTold: without a moment of its start an id is of one start.
func TestStartsThatAreNotTold(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(0, 5, true))
	s.Put(at(1), bornAt(0, 6, false))
	is.True(only(t, s).Draining)
	s.Put(at(2), bornAt(100, 7, false)) // it tells now
	is.True(!only(t, s).Draining)
	s.Put(at(3), bornAt(0, 8, false)) // and then not
	is.Equal(only(t, s).Born, int64(100))
	is.Equal(only(t, s).Start, uint64(2))
}

// TestEarlierStartThatVanishes is not believed afterwards.
func TestEarlierStartThatVanishes(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), bornAt(200, 5, false))
	s.Put(at(1), bornAt(100, 6, false))
	s.Remove(at(2), "i-1", 7)
	s.Tick(start.Add(time.Minute / 2))
	is.Equal(len(s.Upstreams("a")), 0)
}

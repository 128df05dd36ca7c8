package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// entryOfStart is an entry of one start of an upstream.
func entryOfStart(born int64, revision uint64, draining bool) Upstream {
	u := entryOf("i-1", revision)
	u.Born, u.Draining = born, draining
	return u
}

func singleUpstream(t *testing.T, s *Set) Upstream {
	t.Helper()
	list := s.Upstreams("a")
	if len(list) != 1 {
		t.Fatalf("%d upstreams, not one", len(list))
	}
	return list[0]
}

// TestDrainingIsOfOneStart checks that an upstream that drained and started again under its ID
// accepts requests.
func TestDrainingIsOfOneStart(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(100, 5, true))
	s.Put(at(1), entryOfStart(200, 6, false))
	u := singleUpstream(t, s)
	is.True(!u.Draining)
	is.Equal(u.Start, uint64(2))
	s.Put(at(2), entryOfStart(200, 7, true))
	s.Put(at(3), entryOfStart(200, 8, false)) // writes that were reordered
	is.True(singleUpstream(t, s).Draining)
	is.Equal(singleUpstream(t, s).Start, uint64(2))
}

// TestRestartAfterItVanished covers a restart after the entry of the earlier start was removed.
func TestRestartAfterItVanished(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(100, 5, true))
	s.Remove(at(1), "i-1", 6)
	s.Put(at(2), entryOfStart(200, 7, false))
	is.True(!singleUpstream(t, s).Draining)
	is.Equal(singleUpstream(t, s).Start, uint64(2))
}

// TestLateNewsOfAnEarlierStart checks that late updates about an earlier start, in whatever order
// they arrive, do not affect the running one.
func TestLateNewsOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(100, 5, false))
	s.Put(at(1), entryOfStart(200, 7, false))
	s.Put(at(2), entryOfStart(100, 6, true)) // an older revision
	s.Remove(at(3), "i-1", 6)
	is.True(!singleUpstream(t, s).Draining)
	s.Put(at(4), entryOfStart(100, 8, true)) // a write that reached the store late
	is.True(!singleUpstream(t, s).Draining)
	s.Put(at(5), entryOfStart(200, 9, false)) // the next write of the running upstream
	s.Tick(at(10_000))
	is.True(!singleUpstream(t, s).Draining)
	is.Equal(singleUpstream(t, s).Start, uint64(2))
}

// TestClockThatWasSetBack checks that a start with an earlier time than the one before is accepted
// when the other start writes nothing more.
func TestClockThatWasSetBack(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(200, 5, true))
	s.Put(at(100), entryOfStart(150, 6, false))
	is.True(singleUpstream(t, s).Draining)
	s.Put(at(1600), entryOfStart(150, 7, false))
	s.Tick(at(4599))
	is.True(singleUpstream(t, s).Draining)
	s.Tick(at(4600))
	is.True(!singleUpstream(t, s).Draining)
	is.Equal(singleUpstream(t, s).Start, uint64(2))
	is.Equal(singleUpstream(t, s).Born, int64(150))
}

// TestStartsThatAreNotTold checks that without a start time an ID stands for a single start.
func TestStartsThatAreNotTold(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(0, 5, true))
	s.Put(at(1), entryOfStart(0, 6, false))
	is.True(singleUpstream(t, s).Draining)
	s.Put(at(2), entryOfStart(100, 7, false)) // now with a start time
	is.True(!singleUpstream(t, s).Draining)
	s.Put(at(3), entryOfStart(0, 8, false)) // and without it again
	is.Equal(singleUpstream(t, s).Born, int64(100))
	is.Equal(singleUpstream(t, s).Start, uint64(2))
}

// TestEarlierStartThatVanishes checks that a held-back update is not applied after the removal of
// its entry.
func TestEarlierStartThatVanishes(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOfStart(200, 5, false))
	s.Put(at(1), entryOfStart(100, 6, false))
	s.Remove(at(2), "i-1", 7)
	s.Tick(start.Add(time.Minute / 2))
	is.Equal(len(s.Upstreams("a")), 0)
}

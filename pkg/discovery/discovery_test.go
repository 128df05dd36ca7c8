package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newSet() *Set {
	return NewSet(Config{RecoveryGrace: 1500 * time.Millisecond, TombstoneRetention: time.Minute, EarlierStartDelay: 4500 * time.Millisecond})
}

func entryOf(id string, revision uint64) Upstream {
	return Upstream{ID: id, Service: "a", Address: "10.0.0.1:80", Slots: 3, Revision: revision}
}

func ids(s *Set) []string {
	var out []string
	for _, u := range s.Upstreams("a") {
		out = append(out, u.ID)
	}
	return out
}

func TestLateNewsChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOf("i-1", 5))
	s.Remove(at(0), "i-1", 9)
	s.Put(at(0), entryOf("i-1", 7)) // from an older state
	is.Equal(len(ids(s)), 0)
	s.Put(at(0), entryOf("i-1", 10)) // registered again after its lease expired
	is.Equal(ids(s), []string{"i-1"})
	s.Remove(at(1), "i-1", 9)
	is.Equal(ids(s), []string{"i-1"})
}

func TestDrainingIsFinal(t *testing.T) {
	is := is.New(t)
	s := newSet()
	leaving := entryOf("i-1", 5)
	leaving.Draining = true
	s.Put(at(0), leaving)
	s.Put(at(0), entryOf("i-1", 6))
	is.True(s.Upstreams("a")[0].Draining)
}

// TestVanishedAfterAnOutage checks that entries that went missing during an outage are kept, but
// no longer than their upstreams may need to register again.
func TestVanishedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	s := newSet()
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.Put(at(0), entryOf(id, 1))
	}
	leaving := entryOf("i-3", 2)
	leaving.Draining = true
	s.Put(at(0), leaving)
	s.StoreRecovered(at(0))
	s.Replace(at(0), nil, 10)
	is.Equal(ids(s), []string{"i-1", "i-2"}) // a draining upstream is removed at once
	s.Put(at(0), entryOf("i-2", 11))
	s.Tick(at(1499))
	is.Equal(ids(s), []string{"i-1", "i-2"})
	s.Tick(at(1500))
	is.Equal(ids(s), []string{"i-2"})
}

func TestVanishedAtOtherTimesIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOf("i-1", 1))
	s.StoreRecovered(at(0))
	s.Remove(at(1500), "i-1", 2)
	is.Equal(len(ids(s)), 0)
}

func TestReplaceIgnoresOlderListings(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOf("i-1", 8))
	s.Replace(at(0), nil, 7) // as of before the entry
	is.Equal(ids(s), []string{"i-1"})
	s.Replace(at(0), []Upstream{entryOf("i-2", 3)}, 9)
	is.Equal(ids(s), []string{"i-2"})
}

func TestChangedNamesBothServices(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOf("i-1", 1))
	is.Equal(s.Changed(), []string{"a"})
	moved := entryOf("i-1", 2)
	moved.Service = "b"
	s.Put(at(0), moved)
	is.Equal(s.Changed(), []string{"a", "b"})
	is.Equal(len(s.Changed()), 0)
}

func TestForgetsWhatIsLongGone(t *testing.T) {
	is := is.New(t)
	s := newSet()
	s.Put(at(0), entryOf("i-1", 1))
	s.Remove(at(0), "i-1", 2)
	s.Tick(at(59_000))
	is.Equal(len(s.entries), 1)
	s.Tick(at(61_000))
	is.Equal(len(s.entries), 0)
}

package timeslot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

func Example() {
	s := timeslot.New("10.0.0.1")
	s.Set(time.Now(), timeslot.Position{Self: 2, Hosts: 5})
	fmt.Println(s.Next(0, 0), s.Next(3, 0), s.Owns(7, 0), s.Owns(7, 2))
	// Output: 2 7 true false
}

func TestPositionOutOfRangeIsIgnored(t *testing.T) {
	is := is.New(t)
	schedule := timeslot.New("10.0.0.1")
	before, since := schedule.Position()
	for _, p := range []timeslot.Position{{Self: -1, Hosts: 5}, {Self: 5, Hosts: 5}, {}} {
		schedule.Set(time.Now(), p)
		after, still := schedule.Position()
		is.Equal(after, before)
		is.Equal(still, since)
	}
}

func TestPositionIsValidSinceItsLastChange(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	schedule := timeslot.New("10.0.0.1")
	schedule.Set(now, timeslot.Position{Self: 1, Hosts: 3})
	schedule.Set(now.Add(time.Second), timeslot.Position{Self: 1, Hosts: 3})
	_, since := schedule.Position()
	is.Equal(since, now)
}

// TestEachSlotHasOneOwner checks that each slot has exactly one owner if the hosts agree on
// their positions, and that Next returns a slot of the host within one round.
func TestEachSlotHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 500).Draw(t, "hosts")
		slot := rapid.Int64Range(0, 1<<50).Draw(t, "slot")
		shift := rapid.Uint64().Draw(t, "shift")
		owners := 0
		for self := range hosts {
			schedule := timeslot.New("host")
			schedule.Set(time.Now(), timeslot.Position{Self: self, Hosts: hosts})
			if schedule.Owns(slot, shift) {
				owners++
			}
			next := schedule.Next(slot, shift)
			if next < slot || next >= slot+int64(hosts) || !schedule.Owns(next, shift) {
				t.Fatalf("host %d of %d: next slot from %d is %d", self, hosts, slot, next)
			}
		}
		if owners != 1 {
			t.Fatalf("%d owners", owners)
		}
	})
}

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
	t := timeslot.New("10.0.0.1")
	t.Set(time.Now(), timeslot.Position{Self: 2, Hosts: 5})
	fmt.Println(t.Next(0, 0), t.Next(3, 0), t.Owns(7, 0), t.Owns(7, 2))
	// Output: 2 7 true false
}

func TestPlaceOutOfRangeIsIgnored(t *testing.T) {
	is := is.New(t)
	mine := timeslot.New("10.0.0.1")
	before, since := mine.Position()
	for _, p := range []timeslot.Position{{Self: -1, Hosts: 5}, {Self: 5, Hosts: 5}, {}} {
		mine.Set(time.Now(), p)
		after, still := mine.Position()
		is.Equal(after, before)
		is.Equal(still, since)
	}
}

func TestPlaceHoldsSinceItChanged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	mine := timeslot.New("10.0.0.1")
	mine.Set(now, timeslot.Position{Self: 1, Hosts: 3})
	mine.Set(now.Add(time.Second), timeslot.Position{Self: 1, Hosts: 3})
	_, since := mine.Position()
	is.Equal(since, now)
}

// TestEachSlotHasOneOwner where hosts agree, and Next finds the slots that a host owns.
func TestEachSlotHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 500).Draw(t, "hosts")
		slot := rapid.Int64Range(0, 1<<50).Draw(t, "slot")
		shift := rapid.Uint64().Draw(t, "shift")
		owners := 0
		for self := range hosts {
			mine := timeslot.New("host")
			mine.Set(time.Now(), timeslot.Position{Self: self, Hosts: hosts})
			if mine.Owns(slot, shift) {
				owners++
			}
			next := mine.Next(slot, shift)
			if next < slot || next >= slot+int64(hosts) || !mine.Owns(next, shift) {
				t.Fatalf("host %d of %d: next slot from %d is %d", self, hosts, slot, next)
			}
		}
		if owners != 1 {
			t.Fatalf("%d owners", owners)
		}
	})
}

package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// fakeClocks simulates the clocks of a machine. wallStep is how far its wall clock was
// set, and suspended is how long it was suspended.
type fakeClocks struct {
	monotonic, wallStep, suspended time.Duration
	bootErr                        error
	bootReads                      int // number of calls of boot
	// bootDelays holds how long the process is descheduled after each of the next calls
	// of boot.
	bootDelays []time.Duration
}

func (f *fakeClocks) read() reading {
	return reading{monotonic: f.monotonic, wall: f.monotonic + f.suspended + f.wallStep}
}

func (f *fakeClocks) boot() (time.Duration, error) {
	f.bootReads++
	read := f.monotonic + f.suspended
	if len(f.bootDelays) > 0 {
		f.monotonic += f.bootDelays[0]
		f.bootDelays = f.bootDelays[1:]
	}
	return read, f.bootErr
}

// TestSuspended checks that only suspensions count as suspended time: neither changes of
// the wall clock nor waiting between two reads do.
func TestSuspended(t *testing.T) {
	for name, test := range map[string]struct {
		change func(f *fakeClocks)
		want   time.Duration
	}{
		"not suspended":                  {func(f *fakeClocks) { f.monotonic += time.Hour }, 0},
		"suspended":                      {func(f *fakeClocks) { f.suspended += 5 * time.Second }, 5 * time.Second},
		"wall clock set forward":         {func(f *fakeClocks) { f.wallStep += 5 * time.Second }, 0},
		"wall clock set back":            {func(f *fakeClocks) { f.wallStep -= 5 * time.Second }, 0},
		"suspended, then wall clock set": {func(f *fakeClocks) { f.suspended, f.wallStep = 5*time.Second, -time.Second }, 5 * time.Second},
		"descheduled between the reads": {func(f *fakeClocks) {
			f.suspended, f.bootDelays = 5*time.Second, []time.Duration{time.Second, 0}
		}, 5 * time.Second},
		"the boot clock can't be read": {func(f *fakeClocks) {
			f.suspended, f.bootErr = 5*time.Second, errors.New("no such clock")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeClocks{monotonic: time.Minute}
			c := newClock(f)
			is.Equal(c.suspendedAt(f.read()), time.Duration(0))
			test.change(f)
			is.Equal(c.suspendedAt(f.read()), test.want)
			f.monotonic += time.Second
			is.Equal(c.suspendedAt(f.read()), test.want)
		})
	}
}

// TestBootClockIsRarelyRead checks that the boot clock is read only when the wall clock
// has moved against the monotonic clock, because each read is a system call.
func TestBootClockIsRarelyRead(t *testing.T) {
	is := is.New(t)
	f := new(fakeClocks)
	c := newClock(f)
	for range 1000 {
		f.monotonic += time.Millisecond
		c.suspendedAt(f.read())
	}
	is.Equal(f.bootReads, 1) // by newClock
	f.wallStep += time.Second
	for range 1000 {
		c.suspendedAt(f.read())
	}
	is.Equal(f.bootReads, 2)
}

// TestOnResume checks that each suspension is reported once, with its length.
func TestOnResume(t *testing.T) {
	is := is.New(t)
	f := new(fakeClocks)
	c := newClock(f)
	told := make(chan time.Duration, 4)
	c.onResume(func(d time.Duration) { told <- d })
	for _, d := range []time.Duration{5 * time.Second, 2 * time.Second} {
		f.suspended += d
		for range 3 {
			c.suspendedAt(f.read())
		}
		is.Equal(<-told, d)
	}
	is.Equal(len(told), 0)
}

// TestRealClock checks that this clock agrees with time.Now as long as the machine is not
// suspended, also inside a synctest bubble.
func TestRealClock(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckSupport())
	before := time.Now()
	is.True(Since(before) < time.Minute && Since(before) >= 0)
	synctest.Test(t, func(t *testing.T) {
		before := Now()
		time.Sleep(time.Hour)
		is.Equal(Since(before), time.Hour)
		is.Equal(Until(before), -time.Hour)
		is.Equal(ToWall(before), before)
	})
	is.True(Since(before) < time.Minute)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}

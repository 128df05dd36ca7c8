package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// fake is a machine whose clocks a test moves. Set is how far its time of day was set,
// and away how long it was suspended.
type fake struct {
	steady, set, away time.Duration
	broken            error
	boots             int // calls of boot
	// waits is how long the process waits after each of the next calls of boot.
	waits []time.Duration
}

func (f *fake) read() reading {
	return reading{steady: f.steady, day: f.steady + f.away + f.set}
}

func (f *fake) boot() (time.Duration, error) {
	f.boots++
	read := f.steady + f.away
	if len(f.waits) > 0 {
		f.steady += f.waits[0]
		f.waits = f.waits[1:]
	}
	return read, f.broken
}

// TestSuspended: what counts as suspended time, and what does not.
func TestSuspended(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(f *fake)
		want    time.Duration
	}{
		"nothing":                 {func(f *fake) { f.steady += time.Hour }, 0},
		"suspended":               {func(f *fake) { f.away += 5 * time.Second }, 5 * time.Second},
		"time of day set forward": {func(f *fake) { f.set += 5 * time.Second }, 0},
		"time of day set back":    {func(f *fake) { f.set -= 5 * time.Second }, 0},
		"suspended, and then set": {func(f *fake) { f.away, f.set = 5*time.Second, -time.Second }, 5 * time.Second},
		"the process waits between the reads": {func(f *fake) {
			f.away, f.waits = 5*time.Second, []time.Duration{time.Second, 0}
		}, 5 * time.Second},
		"the boot clock can't be read": {func(f *fake) {
			f.away, f.broken = 5*time.Second, errors.New("no such clock")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{steady: time.Minute}
			c := newClock(f)
			is.Equal(c.at(f.read()), time.Duration(0))
			test.happens(f)
			is.Equal(c.at(f.read()), test.want)
			f.steady += time.Second
			is.Equal(c.at(f.read()), test.want)
		})
	}
}

// TestBootClockIsRarelyRead: only when the time of day has moved against the steady one.
func TestBootClockIsRarelyRead(t *testing.T) {
	is := is.New(t)
	f := new(fake)
	c := newClock(f)
	for range 1000 {
		f.steady += time.Millisecond
		c.at(f.read())
	}
	is.Equal(f.boots, 1) // at the start
	f.set += time.Second
	for range 1000 {
		c.at(f.read())
	}
	is.Equal(f.boots, 2)
}

// TestOnResume: each suspension is told once, with its length.
func TestOnResume(t *testing.T) {
	is := is.New(t)
	f := new(fake)
	c := newClock(f)
	told := make(chan time.Duration, 4)
	c.onResume(func(d time.Duration) { told <- d })
	for _, d := range []time.Duration{5 * time.Second, 2 * time.Second} {
		f.away += d
		for range 3 {
			c.at(f.read())
		}
		is.Equal(<-told, d)
	}
	is.Equal(len(told), 0)
}

// TestRealClock: nothing was suspended, so that both clocks show the same, also in tests
// with a time of their own.
func TestRealClock(t *testing.T) {
	is := is.New(t)
	is.NoErr(Check())
	before := time.Now()
	is.True(Since(before) < time.Minute && Since(before) >= 0)
	synctest.Test(t, func(t *testing.T) {
		before := Now()
		time.Sleep(time.Hour)
		is.Equal(Since(before), time.Hour)
		is.Equal(Until(before), -time.Hour)
		is.Equal(Wall(before), before)
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

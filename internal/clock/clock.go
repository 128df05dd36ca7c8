// Package clock provides a clock for measuring elapsed time that includes the time for
// which the machine was suspended.
//
// While a machine is suspended, its monotonic clock stands still, and with it the elapsed
// time that time.Now, time.Since and timers measure. For callers, upstreams and other
// hosts the time did pass: after a suspension, deadlines have expired, known state is
// outdated, and connections that seem to be in recent use have been idle. Now includes
// that time.
//
// Times of this package must not be compared with those of time.Now. Use this package to
// measure durations and time.Now for times shown to people; ToWall converts. Timers do not
// include suspended time: code that must act soon after a suspension registers with
// OnResume.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is how far the wall clock may drift from the monotonic clock before
	// the boot clock is read. Reading it is a system call; without it, Now costs as much
	// as time.Now. Shorter suspensions do not affect anything that uses this package.
	stepTolerance = 50 * time.Millisecond
	// minSuspension is the shortest suspension that can be distinguished from the error
	// of reading two clocks one after the other.
	minSuspension = 10 * time.Millisecond
	// maxReadGap is the maximum time between two reads of the monotonic clock for which a
	// read of the boot clock between them counts as simultaneous. maxReadAttempts bounds
	// the attempts to stay below it.
	maxReadGap      = time.Millisecond
	maxReadAttempts = 5
)

// reading holds two clocks read at the same moment.
type reading struct {
	monotonic time.Duration // since the start of the process
	wall      time.Duration // since the Unix epoch
}

// reader reads the clocks of a machine. Tests replace it.
type reader interface {
	read() reading
	// boot reads the clock that also advances while the machine is suspended.
	boot() (time.Duration, error)
}

// clock tracks the suspended time of one machine. It is safe for concurrent use.
type clock struct {
	reader
	base        reading
	bootBase    time.Duration
	drift       atomic.Int64 // of the wall clock from the monotonic clock at the last check, in nanoseconds
	suspended   atomic.Int64 // total since the start, in nanoseconds
	mu          sync.Mutex   // serializes checks and guards resumeFuncs
	resumeFuncs []func(suspended time.Duration)
	bootErr     error // set if the boot clock can't be read
}

func newClock(r reader) *clock {
	c := &clock{reader: r, base: r.read()}
	c.bootBase, c.bootErr = r.boot()
	return c
}

// suspendedAt returns how long the machine was suspended between the start and r.
func (c *clock) suspendedAt(r reading) time.Duration {
	drift := (r.wall - c.base.wall) - (r.monotonic - c.base.monotonic)
	if (drift - time.Duration(c.drift.Load())).Abs() > stepTolerance {
		c.checkSuspended(drift)
	}
	return time.Duration(c.suspended.Load())
}

// checkSuspended determines whether a changed drift comes from a suspension of the
// machine or from a change of its wall clock.
func (c *clock) checkSuspended(drift time.Duration) {
	c.mu.Lock()
	c.drift.Store(int64(drift))
	known := time.Duration(c.suspended.Load())
	total, ok := c.measureSuspended()
	grown := total - known
	if !ok || grown < minSuspension {
		c.mu.Unlock()
		return
	}
	c.suspended.Store(int64(total))
	callbacks := c.resumeFuncs
	c.mu.Unlock()
	for _, f := range callbacks {
		go f(grown)
	}
}

// measureSuspended returns how long the machine was suspended since the start, or false
// if the boot clock can't be read.
func (c *clock) measureSuspended() (time.Duration, bool) {
	if c.bootErr != nil {
		return 0, false
	}
	var total time.Duration
	for range maxReadAttempts {
		before := c.read().monotonic
		boot, err := c.boot()
		if err != nil {
			return 0, false
		}
		after := c.read().monotonic
		// If the process was descheduled between the reads, this underestimates the
		// suspended time, but it never overestimates it.
		total = (boot - c.bootBase) - (after - c.base.monotonic)
		if after-before < maxReadGap {
			break
		}
	}
	return total, true
}

func (c *clock) onResume(f func(time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumeFuncs = append(c.resumeFuncs, f)
}

// systemClocks reads the clocks of this machine.
type systemClocks struct {
	start time.Time
}

func (m systemClocks) read() reading { return m.readingAt(time.Now()) }

func (m systemClocks) readingAt(t time.Time) reading {
	return reading{monotonic: t.Sub(m.start), wall: time.Duration(t.UnixNano())}
}

func (systemClocks) boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

var (
	system       = systemClocks{time.Now()}
	processClock = newClock(system)
)

// CheckSupport returns an error if suspensions can't be detected on this machine.
func CheckSupport() error { return processClock.bootErr }

// Now returns the current time of this clock, including suspended time.
func Now() time.Time {
	t := time.Now()
	suspended := processClock.suspendedAt(system.readingAt(t))
	if suspended == 0 {
		return t
	}
	return t.Add(suspended)
}

// Since returns the time elapsed since t, which must be a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToWall converts t, which must be a time of this clock, to a time of time.Now.
func ToWall(t time.Time) time.Time { return t.Add(-time.Duration(processClock.suspended.Load())) }

// SimulateSuspension simulates a suspension of length d, for tests of other packages. The returned
// function undoes it.
func SimulateSuspension(d time.Duration) (undo func()) {
	processClock.suspended.Add(int64(d))
	processClock.mu.Lock()
	defer processClock.mu.Unlock()
	for _, f := range processClock.resumeFuncs {
		go f(d)
	}
	return func() { processClock.suspended.Add(-int64(d)) }
}

// OnResume registers f to be called, on its own goroutine, with the length of each
// suspension. Suspensions are detected by the first call of Now after them.
func OnResume(f func(suspended time.Duration)) { processClock.onResume(f) }

// Package clock gives the time by which the process measures how long ago something was.
// A suspended machine runs on afterwards as if no time had passed: the steady clock, and
// with it what time.Now, time.Since and timers count, stood still. To the callers, the
// upstreams and the other hosts that time did pass: deadlines are over, what was known is
// old, connections that were used a moment ago have been idle. Now counts it.
//
// Times of this package and of time.Now must not be compared with one another. Those of
// this package are for measuring, and time.Now is for what people read; Wall converts.
// Timers count no suspended time: who must act soon after one registers with OnResume.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is how far the time of day may move against the steady clock before
	// the boot clock is read, which is a system call: Now costs as much as time.Now.
	// Nothing here depends on a shorter suspension.
	stepTolerance = 50 * time.Millisecond
	// least is the shortest suspension that is told from the error of reading two clocks.
	least = 10 * time.Millisecond
	// closeReads is the longest time between two reads of the steady clock for which what
	// was read between them counts as simultaneous; readTries bounds the tries.
	closeReads = time.Millisecond
	readTries  = 5
)

// reading is one look at two clocks at the same moment.
type reading struct {
	steady time.Duration // since the start
	day    time.Duration // time of day, since 1970
}

// reader reads the clocks of a machine. Tests have one of their own.
type reader interface {
	read() reading
	// boot returns the clock that runs while the machine is suspended.
	boot() (time.Duration, error)
}

// clock counts the suspended time of one machine. It is safe for concurrent use.
type clock struct {
	reader
	base      reading
	bootBase  time.Duration
	drift     atomic.Int64 // of the time of day against the steady clock, when last seen
	suspended atomic.Int64 // nanoseconds since the start
	mu        sync.Mutex   // orders looks
	resumed   []func(suspended time.Duration)
	err       error // of the boot clock
}

func newClock(r reader) *clock {
	c := &clock{reader: r, base: r.read()}
	c.bootBase, c.err = r.boot()
	return c
}

// at returns how long the machine was suspended since the start.
func (c *clock) at(r reading) time.Duration {
	drift := (r.day - c.base.day) - (r.steady - c.base.steady)
	if (drift - time.Duration(c.drift.Load())).Abs() > stepTolerance {
		c.look(drift)
	}
	return time.Duration(c.suspended.Load())
}

// look finds out whether the machine was suspended, or its time of day was set.
func (c *clock) look(drift time.Duration) {
	c.mu.Lock()
	c.drift.Store(int64(drift))
	known := time.Duration(c.suspended.Load())
	total, ok := c.measure()
	grown := total - known
	if !ok || grown < least {
		c.mu.Unlock()
		return
	}
	c.suspended.Store(int64(total))
	resumed := c.resumed
	c.mu.Unlock()
	for _, f := range resumed {
		go f(grown)
	}
}

// measure returns how long the machine was suspended since the start; false if the boot
// clock can't be read.
func (c *clock) measure() (time.Duration, bool) {
	if c.err != nil {
		return 0, false
	}
	var total time.Duration
	for range readTries {
		before := c.read().steady
		boot, err := c.boot()
		if err != nil {
			return 0, false
		}
		after := c.read().steady
		// The process may have waited between the reads: this is never too much.
		total = (boot - c.bootBase) - (after - c.base.steady)
		if after-before < closeReads {
			break
		}
	}
	return total, true
}

func (c *clock) onResume(f func(time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = append(c.resumed, f)
}

// machine reads the clocks of this machine.
type machine struct {
	start time.Time
}

func (m machine) read() reading { return m.of(time.Now()) }

func (m machine) of(t time.Time) reading {
	return reading{steady: t.Sub(m.start), day: time.Duration(t.UnixNano())}
}

func (machine) boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

var (
	here    = machine{time.Now()}
	process = newClock(here)
)

// Check returns why suspensions can't be seen, or nil.
func Check() error { return process.err }

// Now returns the current time, suspended time included.
func Now() time.Time {
	t := time.Now()
	suspended := process.at(here.of(t))
	if suspended == 0 {
		return t
	}
	return t.Add(suspended)
}

// Since returns the time that has passed since t, which Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall returns the time of day of t, which is of this clock.
func Wall(t time.Time) time.Time { return t.Add(-time.Duration(process.suspended.Load())) }

// Skip counts d as suspended time, and returns what takes that back. It is for tests of
// other packages.
func Skip(d time.Duration) (undo func()) {
	process.suspended.Add(int64(d))
	process.mu.Lock()
	defer process.mu.Unlock()
	for _, f := range process.resumed {
		go f(d)
	}
	return func() { process.suspended.Add(-int64(d)) }
}

// OnResume has f called, on a goroutine of its own, when it is seen that the machine was
// suspended, with how long it was. It is seen at the next call of Now.
func OnResume(f func(suspended time.Duration)) { process.onResume(f) }

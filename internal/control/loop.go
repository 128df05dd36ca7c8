// Package control runs the goroutine that owns all control state.
//
// The goroutines that serve requests never access control state. They read snapshots
// published by the control goroutine and report back with Post, which drops and counts
// work when the queue is full.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

const queueLength = 4096

// Loop serialises control work on one goroutine.
type Loop struct {
	queue   chan func()
	dropped atomic.Int64
	timers  []periodic
}

type periodic struct {
	period time.Duration
	run    func(now time.Time)
}

// NewLoop returns a loop that is not running yet.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), queueLength)}
}

// Every registers work to run periodically. It must be called before Run.
func (l *Loop) Every(period time.Duration, run func(now time.Time)) {
	l.timers = append(l.timers, periodic{period, run})
}

// Post queues f without blocking. If the queue is full, it drops f, counts the drop and
// returns false.
func (l *Loop) Post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Call runs f on the control goroutine and waits for it. If ctx ends first, it returns
// the error of ctx; f may still run.
func (l *Loop) Call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	work := func() {
		defer close(done)
		f()
	}
	select {
	case l.queue <- work:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of posts dropped because the queue was full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Run executes work until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticks := make(chan periodic)
	for _, p := range l.timers {
		go tick(ctx, p, ticks)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f()
		case p := <-ticks:
			p.run(clock.Now())
		}
	}
}

func tick(ctx context.Context, p periodic, out chan<- periodic) {
	t := time.NewTicker(p.period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		select {
		case <-ctx.Done():
			return
		case out <- p:
		}
	}
}

// Package control runs the one goroutine that owns all control state.
//
// Traffic goroutines never touch control state: they read snapshots that the
// control goroutine published, and report back with Post, which drops and
// counts when the queue is full.
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
	every time.Duration
	run   func(now time.Time)
}

// NewLoop returns a loop that is not yet running.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), queueLength)}
}

// Every registers work to run each period. It must be called before Run.
func (l *Loop) Every(period time.Duration, run func(now time.Time)) {
	l.timers = append(l.timers, periodic{period, run})
}

// Post queues f without blocking. It reports false, and counts, when the
// queue is full.
func (l *Loop) Post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Call runs f on the control goroutine and waits for it. It returns ctx's
// error when ctx ends first; f may then still run.
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

// Dropped returns the number of posts that found the queue full.
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
	t := time.NewTicker(p.every)
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

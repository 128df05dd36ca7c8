package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	entryHosts = 13
	callers    = 24
	manyKills  = 150 // actions of each caller
	fewPauses  = 50  // each pause outlasts every time-out
	asks       = 6
)

// during runs faults until the callers have done their actions.
func during(f *fleet, actions int, faults func(done <-chan struct{})) *verdicts {
	return duringHeld(f, callers, actions, 0, faults)
}

// duringHeld is during with callers that hold their tickets for a while.
func duringHeld(f *fleet, callers, actions int, hold time.Duration, faults func(done <-chan struct{})) *verdicts {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { faults(done) })
	v := runCallers(f, callers, actions, hold)
	close(done)
	wg.Wait()
	return v
}

// every calls step with 0, 1, 2, ... until done.
func every(done <-chan struct{}, period time.Duration, step func(i int)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-tick.C:
			step(i)
		}
	}
}

func TestActionsRunAtMostOnceWhenEntryHostsAreKilled(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	v := during(f, manyKills, func(done <-chan struct{}) {
		every(done, 100*time.Millisecond, func(i int) {
			e := f.entries[i%entryHosts]
			e.kill()
			f.restart(e)
		})
	})
	v.check(t, f.ledger())
}

func TestActionsRunAtMostOnceWhenEntryHostsPause(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	v := during(f, fewPauses, func(done <-chan struct{}) {
		every(done, 250*time.Millisecond, func(i int) {
			e := f.entries[(i*5)%entryHosts]
			e.signal(syscall.SIGSTOP)
			time.Sleep(2 * callerTimeout)
			e.signal(syscall.SIGCONT)
		})
	})
	v.check(t, f.ledger())
}

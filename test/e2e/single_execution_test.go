package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	entryHosts        = 13
	callers           = 24
	manyKills         = 150 // actions per caller
	fewPauses         = 50  // actions per caller; each pause is longer than every time-out
	attemptsPerAction = 6
)

// during injects faults until the callers have finished their actions.
func during(f *fleet, actions int, faults func(done <-chan struct{})) *outcomes {
	return duringHeld(f, callers, actions, 0, faults)
}

// duringHeld is during with callers that wait for up to hold before they use a ticket.
func duringHeld(f *fleet, callers, actions int, hold time.Duration, faults func(done <-chan struct{})) *outcomes {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { faults(done) })
	v := runCallers(f, callers, actions, hold)
	close(done)
	wg.Wait()
	return v
}

// every calls step once per period, with 0, 1, 2, ..., until done is closed.
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

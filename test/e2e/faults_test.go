package e2e

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/standin"
)

const (
	twoFaultActions = 40 // of each caller
	stopActions     = 3
	stopCallers     = 150

	pauseLength = 2 * callerTimeout
)

// killSome kills and restarts entry hosts, one at a time, until done.
func killSome(f *fleet, done <-chan struct{}, period time.Duration) {
	every(done, period, func(i int) {
		e := f.entries[i*3%entryHosts]
		e.kill()
		f.restart(e)
	})
}

// pauseSome stops entry hosts for longer than callers wait, one at a time.
// It leaves out those that killSome is about to take.
func pauseSome(f *fleet, done <-chan struct{}) {
	every(done, 200*time.Millisecond, func(i int) {
		p := f.entries[(i*3+7)%entryHosts].process
		p.signal(syscall.SIGSTOP)
		time.Sleep(pauseLength)
		p.signal(syscall.SIGCONT)
	})
}

// untilReady is waitReady for goroutines other than the test's own.
func (f *fleet) untilReady(e *entryHost) {
	f.t.Helper()
	for deadline := time.Now().Add(readyTimeout); f.get("http://"+e.admin+"/readyz") != nil; time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			f.t.Errorf("entry host %s: not ready within %s", e.caller, readyTimeout)
			return
		}
	}
}

// failPlatform lets the platform be down, stale and well in turn.
func failPlatform(f *fleet, done <-chan struct{}) {
	states := []standin.Faults{{Down: true}, {Stale: true}, {}}
	every(done, time.Second, func(i int) { f.faults(states[i%len(states)]) })
}

func TestActionsRunAtMostOnceUnderSeveralFaultsAtOnce(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	v := during(f, times(twoFaultActions), func(done <-chan struct{}) {
		var wg sync.WaitGroup
		wg.Go(func() { killSome(f, done, 700*time.Millisecond) })
		wg.Go(func() { pauseSome(f, done) })
		wg.Go(func() { failPlatform(f, done) })
		wg.Wait()
	})
	v.check(t, f.ledger())
}

// stopSome stops entry hosts as planned and starts them again, every third
// from the given one on, until done. It returns how many.
func stopSome(f *fleet, first int, done <-chan struct{}) int {
	stops := 0
	every(done, 100*time.Millisecond, func(i int) {
		e := f.entries[first+3*i%12]
		if err := e.stop(); err != nil {
			f.t.Errorf("entry host %s: %v", e.caller, err)
		}
		f.restart(e)
		f.untilReady(e)
		stops++
	})
	return stops
}

// The tickets of a host that stops go to another one. Callers hold theirs for
// longer than a stop takes.
func TestActionsRunAtMostOnceOverPlannedStops(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	var stops atomic.Int64
	v := duringHeld(f, stopCallers, times(stopActions), 2*time.Second, func(done <-chan struct{}) {
		var wg sync.WaitGroup
		for first := range 3 {
			wg.Go(func() { stops.Add(int64(stopSome(f, first, done))) })
		}
		wg.Wait()
	})
	v.check(t, f.ledger())
	t.Logf("%d planned stops", stops.Load())
	if stops.Load() == 0 {
		t.Error("no host was stopped while actions ran")
	}
}

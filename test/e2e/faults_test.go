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
	twoFaultActions = 40 // per caller
	stopActions     = 3
	stopCallers     = 150

	pauseDuration = 2 * callerTimeout
)

// killSome kills and restarts entry hosts, one at a time, until done is closed.
func killSome(f *fleet, done <-chan struct{}, period time.Duration) {
	every(done, period, func(i int) {
		e := f.entries[i*3%entryHosts]
		e.kill()
		f.restart(e)
	})
}

// pauseSome pauses entry hosts, one at a time, for longer than callers wait. It skips the
// hosts that killSome is about to kill.
func pauseSome(f *fleet, done <-chan struct{}) {
	every(done, 200*time.Millisecond, func(i int) {
		p := f.entries[(i*3+7)%entryHosts].process
		p.signal(syscall.SIGSTOP)
		time.Sleep(pauseDuration)
		p.signal(syscall.SIGCONT)
	})
}

// checkReady is waitReady for goroutines other than the test's: it does not call Fatal.
func (f *fleet) checkReady(e *entryHost) {
	f.t.Helper()
	for deadline := time.Now().Add(readyTimeout); f.get("http://"+e.admin+"/readyz") != nil; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Errorf("entry host %s: not ready within %s", e.caller, readyTimeout)
			return
		}
	}
}

// failPlatform makes the platform cycle through down, stale and healthy.
func failPlatform(f *fleet, done <-chan struct{}) {
	states := []standin.Faults{{Down: true}, {Stale: true}, {}}
	every(done, time.Second, func(i int) { f.faults(states[i%len(states)]) })
}

func TestActionsRunAtMostOnceUnderSeveralFaultsAtOnce(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	v := during(f, scaled(twoFaultActions), func(done <-chan struct{}) {
		var wg sync.WaitGroup
		wg.Go(func() { killSome(f, done, 700*time.Millisecond) })
		wg.Go(func() { pauseSome(f, done) })
		wg.Go(func() { failPlatform(f, done) })
		wg.Wait()
	})
	v.check(t, f.ledger())
}

// restartSome shuts entry hosts down gracefully and starts them again, every third host from
// the given one on, until done is closed. It returns the number of shutdowns.
func restartSome(f *fleet, first int, done <-chan struct{}) int {
	stops := 0
	every(done, 100*time.Millisecond, func(i int) {
		e := f.entries[first+3*i%12]
		if err := e.stop(); err != nil {
			f.t.Errorf("entry host %s: %v", e.caller, err)
		}
		f.restart(e)
		f.checkReady(e)
		stops++
	})
	return stops
}

// TestActionsRunAtMostOnceOverGracefulShutdowns covers the hand-over of tickets: a host that
// shuts down hands its tickets to another one. Callers hold theirs for longer than a shutdown
// takes.
func TestActionsRunAtMostOnceOverGracefulShutdowns(t *testing.T) {
	f := newFleet(t, 4, entryHosts)
	var stops atomic.Int64
	v := duringHeld(f, stopCallers, scaled(stopActions), 2*time.Second, func(done <-chan struct{}) {
		var wg sync.WaitGroup
		for first := range 3 {
			wg.Go(func() { stops.Add(int64(restartSome(f, first, done))) })
		}
		wg.Wait()
	})
	v.check(t, f.ledger())
	t.Logf("%d graceful shutdowns", stops.Load())
	if stops.Load() == 0 {
		t.Error("no host was shut down while actions ran")
	}
}

package storesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLargeSimulation returns a fleet of slow hosts: a host that receives a hundred fetches at
// once answers the last of them after most requesters have timed out.
func newLargeSimulation(seed uint64, hosts int) *simulation {
	w := newSimulation(seed, hosts, 6)
	w.fetchCost = 8 * time.Millisecond
	w.sendCost = 100 * time.Microsecond
	return w
}

// TestChangeThatFitsNoMessage checks that a change too large for a datagram reaches all hosts of
// a large fleet within a second, with few store calls and an even distribution of messages.
func TestChangeThatFitsNoMessage(t *testing.T) {
	for _, hosts := range []int{117, 587, 1174} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			w := newLargeSimulation(1, hosts)
			w.run(10 * time.Second)
			w.inline = 0
			calls, sent := w.calls, w.sent
			const changes = 10
			var slowest time.Duration
			for range changes {
				revision, began := w.change(), w.now
				for !w.allKnow(revision) && w.now.Sub(began) < maxChangeDelay {
					w.run(5 * time.Millisecond)
				}
				slowest = max(slowest, w.now.Sub(began))
				w.run(2*time.Second - w.now.Sub(began))
			}
			most := 0
			for _, h := range w.hosts {
				most = max(most, h.sent)
			}
			t.Logf("%d calls, all know after %s, %d messages, %d by one host", w.calls-calls, slowest, w.sent-sent, most)
			is.True(w.calls-calls <= 100)
			is.True(slowest <= time.Second)
			is.True(most <= 20*(w.sent/hosts))
		})
	}
}

// TestLargeFleetStartsAnew restarts all hosts at once while a full read takes many calls. A few
// hosts must read the state, and the others fetch it from them.
func TestLargeFleetStartsAnew(t *testing.T) {
	for _, hosts := range []int{117, 587, 1174} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			w := newLargeSimulation(1, hosts)
			w.run(10 * time.Second)
			w.largeRead = true
			for _, h := range w.hosts {
				h.kill()
			}
			w.run(time.Second)
			calls, began := w.calls, w.now
			for _, h := range w.hosts {
				h.start(false)
			}
			w.viewLag = 2 * time.Second
			w.publishView()
			for !w.allKnow(w.revision) && w.now.Sub(began) < 10*time.Second {
				w.run(20 * time.Millisecond)
			}
			complete := func() (n int) {
				for _, h := range w.hosts {
					if h.complete {
						n++
					}
				}
				return n
			}
			for complete() < hosts && w.now.Sub(began) < 10*time.Second {
				w.run(20 * time.Millisecond)
			}
			t.Logf("%d calls a host, all complete after %s", (w.calls-calls)/hosts, w.now.Sub(began))
			is.True(w.now.Sub(began) <= 5*time.Second)
			is.True((w.calls-calls)/hosts <= 10) // 16 if each host reads the store itself
			if hosts >= 587 {
				is.True((w.calls-calls)/hosts <= 6)
			}
		})
	}
}

// TestMissedChanges checks that hosts that missed changes while a full read is expensive fetch
// the changes from their peers.
func TestMissedChanges(t *testing.T) {
	is := is.New(t)
	w := newLargeSimulation(1, 587)
	w.run(10 * time.Second)
	w.largeRead = true
	calls := w.calls
	for _, h := range w.hosts[100:400] {
		h.input(h.incarnation, func() { h.missedChanges(h.clock()); h.do(h.Tick(h.clock())) })
	}
	revision := w.change()
	w.run(time.Second)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
		is.True(h.complete)
	}
	t.Logf("%d calls", w.calls-calls)
	is.True(w.calls-calls <= 1000) // 4,800 if each host reads everything
}

// TestHistoryThatNobodyHas drops changes from the store's history that all hosts lack. The first
// host must read the full state, although its peers answer its fetches.
func TestHistoryThatNobodyHas(t *testing.T) {
	is := is.New(t)
	w := newLargeSimulation(1, 117)
	w.run(10 * time.Second)
	w.watchStalled = true
	w.run(10 * time.Millisecond)
	revision := w.change()
	w.oldest = w.revision
	w.watchStalled = false
	calls := w.calls
	w.run(3 * time.Second)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
	}
	t.Logf("%d calls", w.calls-calls)
	is.True(w.calls-calls <= 30)
}

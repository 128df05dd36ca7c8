package storesync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLargeWorld is a fleet of small hosts: one that is asked by a hundred at once answers the
// last of them after most have given up.
func newLargeWorld(seed uint64, hosts int) *world {
	w := newWorld(seed, hosts, 6)
	w.askCost = 8 * time.Millisecond
	w.sendCost = 100 * time.Microsecond
	return w
}

// TestChangeThatFitsNoMessage: all hosts of a large fleet have it within a second, few calls
// are made, and no host has much more to do than the others.
func TestChangeThatFitsNoMessage(t *testing.T) {
	for _, hosts := range []int{117, 587, 1174} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			w := newLargeWorld(1, hosts)
			w.run(10 * time.Second)
			w.inline = 0
			calls, sent := w.calls, w.sent
			const changes = 10
			var slowest time.Duration
			for range changes {
				revision, began := w.change(), w.now
				for !w.allKnow(revision) && w.now.Sub(began) < changeWithin {
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

// TestLargeFleetStartsAnew: all hosts end at once, where what is published takes many calls
// to read. A few read it, and hand it on.
func TestLargeFleetStartsAnew(t *testing.T) {
	for _, hosts := range []int{117, 587, 1174} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			w := newLargeWorld(1, hosts)
			w.run(10 * time.Second)
			w.long = true
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
			is.True((w.calls-calls)/hosts <= 10) // 16 where each reads by itself
			if hosts >= 587 {
				is.True((w.calls-calls)/hosts <= 6)
			}
		})
	}
}

// TestMissedChanges: hosts of a fleet that lose the store's history, while what is published
// takes long to read, are told by their peers what they lack.
func TestMissedChanges(t *testing.T) {
	is := is.New(t)
	w := newLargeWorld(1, 587)
	w.run(10 * time.Second)
	w.long = true
	calls := w.calls
	for _, h := range w.hosts[100:400] {
		h.input(h.life, func() { h.missed(h.clock()); h.do(h.Tick(h.clock())) })
	}
	revision := w.change()
	w.run(time.Second)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
		is.True(h.complete)
	}
	t.Logf("%d calls", w.calls-calls)
	is.True(w.calls-calls <= 1000) // 4,800 where each reads everything
}

// TestHistoryThatNobodyHas: the store forgets what all hosts lack. The first one reads
// everything, although its peers answer it.
func TestHistoryThatNobodyHas(t *testing.T) {
	is := is.New(t)
	w := newLargeWorld(1, 117)
	w.run(10 * time.Second)
	w.deaf = true
	w.run(10 * time.Millisecond)
	revision := w.change()
	w.oldest = w.revision
	w.deaf = false
	calls := w.calls
	w.run(3 * time.Second)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
	}
	t.Logf("%d calls", w.calls-calls)
	is.True(w.calls-calls <= 30)
}

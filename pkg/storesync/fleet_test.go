package storesync

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// contact is how long a host must have been without a fault to be bound.
const contact = 3 * time.Second

// expect requires that every host that is bound from now on, for as long as a
// change may take, knows the newest revision then.
func (w *world) expect(report func(host int, revision, known uint64)) {
	revision, from := w.revision, w.now
	w.after(changeWithin, func() {
		for i, h := range w.hosts {
			bound := h.alive && !h.paused && h.harmed.Before(from.Add(-contact))
			if bound && h.storePath() == open && h.Revision() < revision {
				report(i, revision, h.Revision())
			}
		}
	})
}

func TestFewHostsAskTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 140, 4)
	w.run(10 * time.Second)
	before := w.calls
	for range 20 {
		w.change()
		w.expect(func(host int, revision, known uint64) {
			t.Errorf("host %d knows %d, not %d", host, known, revision)
		})
		w.run(2 * time.Second)
	}
	calls := w.calls - before
	t.Logf("%d calls of 140 hosts in 40 s with 20 changes", calls)
	is.True(calls <= 100) // 140 hosts that ask by themselves make over 4000
}

func TestStartReadsTheStoreOnFewHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 40, 4)
	w.change()
	w.run(3 * time.Second)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), w.revision)
	}
	t.Logf("%d calls of 40 hosts in 3 s", w.calls)
	is.True(w.calls <= 20)
}

// losses are the ways in which a host stops doing its part.
var losses = map[string]func(h *host){
	"killed":              (*host).kill,
	"paused":              (*host).pause,
	"cut from the store":  func(h *host) { h.store, h.harmed = silent, h.world.now },
	"refused":             func(h *host) { h.store, h.harmed = refused, h.world.now },
	"cut from its peers":  func(h *host) { h.peers = silent },
	"cut from everything": func(h *host) { h.peers, h.store, h.harmed = silent, silent, h.world.now },
}

// TestFirstHostIsGone takes the first host away in each way, right before a
// change, while all believe that it is there.
func TestFirstHostIsGone(t *testing.T) {
	for name, fault := range losses {
		t.Run(name, func(t *testing.T) {
			for offset := range 20 {
				w := newWorld(uint64(offset), 18, 4)
				w.run(10*time.Second + time.Duration(offset)*50*time.Millisecond)
				fault(w.hosts[0])
				if offset%2 == 0 {
					fault(w.hosts[1]) // the first one of another domain too
				}
				w.change()
				w.expect(func(host int, revision, known uint64) {
					t.Errorf("offset %d: host %d knows %d, not %d", offset, host, known, revision)
				})
				w.run(3 * time.Second)
			}
		})
	}
}

func TestHostThatTheStoreTurnsAwayIsTold(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 18, 4)
	w.run(10 * time.Second)
	w.hosts[7].store = refused
	w.run(time.Second)
	w.change()
	w.run(changeWithin)
	is.Equal(w.hosts[7].Revision(), w.revision)
	w.hosts[7].kill()
	w.run(time.Second)
	w.hosts[7].start(false) // knows nothing, and the store turns it away
	w.run(500 * time.Millisecond)
	is.Equal(w.hosts[7].Revision(), w.revision)
}

// TestOutageIsToldOnce: the end of an outage is learned by every host, at about
// the same time; a host that alone was turned away learns of none.
func TestOutageIsToldOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 18, 4)
	w.run(10 * time.Second)
	w.hosts[0].store = refused
	w.run(5 * time.Second)
	w.hosts[0].store = open
	w.run(5 * time.Second)
	is.Equal(w.hosts[0].returned, 0)
	w.down = silent
	w.run(5 * time.Second)
	w.down = open
	w.run(1500 * time.Millisecond)
	for _, h := range w.hosts {
		is.Equal(h.returned, 1)
		is.Equal(h.events[event.StoreLost] > 0, true)
		is.Equal(h.events[event.StoreLost], h.events[event.StoreRegained])
	}
}

// TestFewHostsLookWhileTheStoreIsAway, however the store fails to answer. The bound
// grows much more slowly than the fleet.
func TestFewHostsLookWhileTheStoreIsAway(t *testing.T) {
	for _, fleet := range []struct{ hosts, domains, calls int }{
		{17, 3, 75}, {99, 3, 75}, {473, 6, 75},
	} {
		for name, down := range map[string]path{"refused": refused, "silent": silent} {
			t.Run(strconv.Itoa(fleet.hosts)+" "+name, func(t *testing.T) {
				w := newWorld(6, fleet.hosts, fleet.domains)
				w.run(10 * time.Second)
				before := w.calls
				w.down = down
				w.run(8 * time.Second)
				w.down = open
				w.run(time.Second)
				calls := w.calls - before
				t.Logf("%d calls of %d hosts in an outage of 8 s", calls, fleet.hosts)
				is.New(t).True(calls <= fleet.calls)
			})
		}
	}
}

// TestReturnIsSeenWithoutTheFirstHost: the host that looks for all is taken away
// while the store is; what changes when it is back is known in time.
func TestReturnIsSeenWithoutTheFirstHost(t *testing.T) {
	for name, fault := range losses {
		t.Run(name, func(t *testing.T) {
			for offset := range 20 {
				w := newWorld(uint64(offset), 18, 4)
				w.run(10 * time.Second)
				w.down = []path{refused, silent}[offset%2]
				w.run(4*time.Second + time.Duration(offset)*70*time.Millisecond)
				fault(w.hosts[0])
				w.down = open
				w.change()
				w.run(changeWithin)
				for i, h := range w.hosts[1:] {
					if h.Revision() < w.revision {
						t.Errorf("offset %d: host %d knows %d, not %d", offset, i+1, h.Revision(), w.revision)
					}
				}
			}
		})
	}
}

// TestDeafWatch: the watch hears nothing, the history is dropped, and the watch
// goes on hearing nothing.
func TestDeafWatch(t *testing.T) {
	for name, keeps := range map[string]bool{"waiting": false, "all": true} {
		t.Run(name, func(t *testing.T) { testDeafWatch(t, keeps) })
	}
}

func testDeafWatch(t *testing.T, keeps bool) {
	w := newWorld(5, 18, 4)
	w.deaf, w.keeps = true, keeps
	w.run(10 * time.Second)
	for range 4 {
		w.change()
		w.oldest = w.revision
		w.expect(func(host int, revision, known uint64) {
			t.Errorf("host %d knows %d, not %d", host, known, revision)
		})
		w.run(1300 * time.Millisecond)
	}
	w.run(3 * time.Second)
	if limit := 80; w.calls > limit {
		t.Errorf("%d calls are over %d: not only the first host dealt with it", w.calls, limit)
	}
}

// faults draws one fault, and its end after a while.
func (w *world) faults() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	length := time.Duration(w.random.Float64() * float64(6*time.Second))
	harm := func(begin, end func()) {
		begin()
		h.harmed = w.now
		w.after(length, func() { end(); h.harmed = w.now })
	}
	switch w.random.IntN(7) {
	case 0:
		if h.alive {
			h.kill()
			w.publishView()
			w.after(length, func() {
				if !h.alive {
					h.start(false)
					w.publishView()
				}
			})
		}
	case 1:
		if h.alive && !h.paused {
			h.pause()
			life := h.life
			w.after(length, func() {
				if h.life == life && h.paused {
					h.wake()
				}
			})
		}
	case 2:
		harm(func() { h.store = silent }, func() { h.store = open })
	case 3:
		harm(func() { h.store = refused }, func() { h.store = open })
	case 4: // the peers bind no host: one that loses them is bound
		h.peers = silent
		w.after(length, func() { h.peers = open })
	case 5:
		w.loss = w.random.Float64() * 0.1
	case 6:
		w.oldest = w.revision
	}
}

// randomly runs a fleet under faults and changes, and counts broken bounds.
func randomly(seed uint64, setup func(w *world)) int {
	w := newWorld(seed, 6+int(seed%14), 1+int(seed%4))
	setup(w)
	w.run(5 * time.Second)
	broken := 0
	for range 60 {
		w.run(time.Duration(w.random.Float64() * float64(900*time.Millisecond)))
		if w.random.IntN(3) == 0 {
			w.faults()
			continue
		}
		w.change()
		w.expect(func(int, uint64, uint64) { broken++ })
	}
	w.run(3 * time.Second)
	return broken
}

// TestKeptSeeds plays fleets that once broke a bound.
func TestKeptSeeds(t *testing.T) {
	for seed, cause := range map[uint64]string{
		3646: "a host that woke took messages that had waited for it for new, and told others",
	} {
		if n := randomly(seed, func(*world) {}); n > 0 {
			t.Errorf("seed %d (%s): %d bounds broken", seed, cause, n)
		}
	}
}

// TestRandomFaults plays FOLLOW_RUNS fleets, and the same without patience.
func TestRandomFaults(t *testing.T) {
	runs := 150
	if n, err := strconv.Atoi(os.Getenv("FOLLOW_RUNS")); err == nil {
		runs = n
	}
	for seed := range uint64(runs) {
		if n := randomly(seed, func(*world) {}); n > 0 {
			t.Errorf("seed %d: %d bounds broken", seed, n)
		}
	}
	broken := 0
	for seed := range uint64(30) {
		broken += randomly(seed, func(w *world) {
			for _, h := range w.hosts {
				h.conf.MaxChangeDelay = time.Hour
				h.conf.SoloCheckInterval = time.Hour
			}
		})
	}
	if broken == 0 {
		t.Error("hosts that only listen to the first one broke no bound: the test shows nothing")
	}
}

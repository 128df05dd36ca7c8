package storesync

import (
	"testing"
	"time"
)

// suspensions plays a fleet whose hosts are suspended, those that the others rely on first,
// beside changes and a store that turns some away, and counts broken bounds.
func suspensions(seed uint64, naive bool) int {
	w := newWorld(seed, 6+int(seed%14), 1+int(seed%4))
	w.naive = naive
	w.run(5 * time.Second)
	broken := 0
	for range 60 {
		w.run(time.Duration(w.random.Float64() * float64(900*time.Millisecond)))
		h := w.hosts[w.random.IntN(min(3, len(w.hosts)))]
		switch w.random.IntN(4) {
		case 0:
			if h.alive && !h.paused {
				h.suspend(time.Duration(w.random.Float64() * float64(6*time.Second)))
			}
		case 1:
			h := w.hosts[w.random.IntN(len(w.hosts))]
			h.store, h.harmed = refused, w.now
			w.after(time.Duration(w.random.Float64()*float64(3*time.Second)), func() { h.store, h.harmed = open, w.now })
		default:
			w.change()
			w.expect(func(int, uint64, uint64) { broken++ })
		}
	}
	w.run(8 * time.Second)
	return broken
}

// TestSuspendedHosts: machines are suspended for up to six seconds, so that their timers
// stand still, and a host sees it half a second later at the most. Each host that runs knows
// each change in time. With clocks that stand still too, a host passes what it knew before
// off as new: of 14,000 fleets, two broke a bound, and none with clocks that count; five others
// did while hosts told each other otherwise.
func TestSuspendedHosts(t *testing.T) {
	for seed := range uint64(100) {
		if n := suspensions(seed, false); n > 0 {
			t.Errorf("seed %d: %d bounds broken", seed, n)
		}
	}
	for _, seed := range []uint64{896, 2516, 3836, 588, 7224, 112, 9788} {
		if n := suspensions(seed, false); n > 0 {
			t.Errorf("seed %d: %d bounds broken", seed, n)
		}
	}
	for _, seed := range []uint64{112, 9788} {
		if suspensions(seed, true) == 0 {
			t.Errorf("seed %d: clocks that stand still broke no bound: it shows nothing", seed)
		}
	}
}

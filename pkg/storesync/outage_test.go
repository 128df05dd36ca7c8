package storesync

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// outer is how much later a change may be known while the store answers some hosts
// and not others.
const outer = 5 * time.Second

// unansweredBy is a call of a host that went unanswered, begun at a time since epoch.
func unansweredBy(host int, at time.Duration) FailedCall {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host + 1)}), 7200)
	return FailedCall{Host: a, At: epoch.Add(at)}
}

func TestOutageKeepsTheNewestCallOfEachHost(t *testing.T) {
	is := is.New(t)
	var o outage
	for i := range witnesses - 1 {
		o.add(unansweredBy(i, time.Duration(i)*time.Second))
	}
	o.add(unansweredBy(0, 10*time.Second)) // a host that calls again is no further witness
	o.add(unansweredBy(0, 5*time.Second))  // an older message that comes late changes nothing
	is.True(o.agreed().IsZero())
	o.add(unansweredBy(witnesses, 4*time.Second))
	is.Equal(o.agreed(), epoch.Add(time.Second)) // the oldest of those that it takes
	o.add(unansweredBy(witnesses+1, 12*time.Second))
	is.Equal(o.agreed(), epoch.Add(2*time.Second))
	is.Equal(len(o.since(epoch.Add(4*time.Second))), 2)
}

// TestMixedAnswersEndTheAgreement: a store that answers some is not away, and hosts
// that it does not answer show nothing for a while.
func TestMixedAnswersEndTheAgreement(t *testing.T) {
	is := is.New(t)
	o := outage{mixFor: 4 * time.Second}
	for i := range witnesses {
		o.add(unansweredBy(i, time.Second))
	}
	o.answered(epoch.Add(time.Second)) // it began no later than those
	is.True(!o.agreed().IsZero())
	o.answered(epoch.Add(2 * time.Second))
	is.True(o.agreed().IsZero())
	for i := range witnesses {
		o.add(unansweredBy(i, 5*time.Second))
	}
	is.True(o.agreed().IsZero())
	for i := range witnesses {
		o.add(unansweredBy(i, 6*time.Second))
	}
	is.Equal(o.agreed(), epoch.Add(6*time.Second))
}

// TestSparedHostsAreToldOfTheReturn: hosts that made no call in an outage learn of
// its end like the others, and say that they took the store for away.
func TestSparedHostsAreToldOfTheReturn(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 99, 3)
	w.run(10 * time.Second)
	w.down = silent
	w.run(6 * time.Second)
	w.down = open
	revision := w.change()
	w.run(changeWithin)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
		is.Equal(h.returned, 1)
		is.Equal(h.events[event.StoreLost], 1)
		is.Equal(h.events[event.StoreRegained], 1)
	}
}

// TestReturnIsSeenWithoutTheFirstHosts takes all hosts that look while the store is
// away when it returns. The others find out by themselves.
func TestReturnIsSeenWithoutTheFirstHosts(t *testing.T) {
	const gone = 12
	for name, fault := range losses {
		t.Run(name, func(t *testing.T) {
			for offset := range 10 {
				w := newWorld(uint64(offset), 99, 3)
				w.run(10 * time.Second)
				w.down = []path{refused, silent}[offset%2]
				w.run(4*time.Second + time.Duration(offset)*130*time.Millisecond)
				for _, h := range w.hosts[:gone] {
					fault(h)
				}
				w.down = open
				w.change()
				w.run(changeWithin)
				for i, h := range w.hosts[gone:] {
					if h.Revision() < w.revision {
						t.Errorf("offset %d: host %d knows %d, not %d", offset, gone+i, h.Revision(), w.revision)
					}
				}
			}
		})
	}
}

// TestStoreThatTurnsSomeAway: the hosts that look for all are among those it does not
// answer. The others may take it for away at first, and must not for long.
func TestStoreThatTurnsSomeAway(t *testing.T) {
	for _, share := range []float64{0.35, 0.65, 0.8} {
		for seed := range uint64(20) {
			w := newWorld(seed, 99, 3)
			w.run(10 * time.Second)
			for i, h := range w.hosts {
				if i < 12 || w.random.Float64() < share {
					h.store = refused
				}
			}
			slowest := 0.0
			for range 6 {
				revision, began := w.change(), w.now
				for w.now.Before(began.Add(changeWithin + outer)) {
					w.run(50 * time.Millisecond)
					if w.allKnow(revision) {
						break
					}
				}
				slowest = math.Max(slowest, w.now.Sub(began).Seconds())
			}
			if slowest >= (changeWithin + outer).Seconds() {
				t.Errorf("share %v, seed %d: a change was not known after %v s", share, seed, slowest)
			}
		}
	}
}

// TestRandomOutages plays fleets under faults whose store goes away, wholly or for
// some, and returns.
func TestRandomOutages(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seed, 6+int(seed%40), 1+int(seed%5))
		w.run(5 * time.Second)
		for range 8 {
			w.down = []path{refused, silent}[w.random.IntN(2)]
			w.run(time.Duration(w.random.Float64() * float64(6*time.Second)))
			if w.random.IntN(2) == 0 {
				w.faults()
			}
			w.down = open
			w.change()
			w.expect(func(host int, revision, known uint64) {
				t.Errorf("seed %d: host %d knows %d, not %d", seed, host, known, revision)
			})
			w.run(changeWithin + time.Duration(w.random.Float64()*float64(3*time.Second)))
		}
	}
}

package storesync

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// partialOutageDelay is the additional delay allowed for a change while the store answers only
// some of the hosts.
const partialOutageDelay = 5 * time.Second

// failedCall returns a failed call of a host that began at a time since epoch.
func failedCall(host int, at time.Duration) FailedCall {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host + 1)}), 7200)
	return FailedCall{Host: a, At: epoch.Add(at)}
}

func TestOutageKeepsTheNewestCallOfEachHost(t *testing.T) {
	is := is.New(t)
	var o outage
	for i := range outageQuorum - 1 {
		o.recordFailure(failedCall(i, time.Duration(i)*time.Second))
	}
	o.recordFailure(failedCall(0, 10*time.Second)) // a repeated call of the same host does not add to the quorum
	o.recordFailure(failedCall(0, 5*time.Second))  // an older call that is reported late is ignored
	is.True(o.confirmedAt().IsZero())
	o.recordFailure(failedCall(outageQuorum, 4*time.Second))
	is.Equal(o.confirmedAt(), epoch.Add(time.Second)) // the oldest call of the quorum
	o.recordFailure(failedCall(outageQuorum+1, 12*time.Second))
	is.Equal(o.confirmedAt(), epoch.Add(2*time.Second))
	is.Equal(len(o.since(epoch.Add(4*time.Second))), 2)
}

// TestMixedAnswersEndTheAgreement checks that an answer of the store to any host ends the outage,
// and that failed calls are ignored for a while afterwards.
func TestMixedAnswersEndTheAgreement(t *testing.T) {
	is := is.New(t)
	o := outage{partialHold: 4 * time.Second}
	for i := range outageQuorum {
		o.recordFailure(failedCall(i, time.Second))
	}
	o.recordAnswer(epoch.Add(time.Second)) // began no later than the failed calls
	is.True(!o.confirmedAt().IsZero())
	o.recordAnswer(epoch.Add(2 * time.Second))
	is.True(o.confirmedAt().IsZero())
	for i := range outageQuorum {
		o.recordFailure(failedCall(i, 5*time.Second))
	}
	is.True(o.confirmedAt().IsZero())
	for i := range outageQuorum {
		o.recordFailure(failedCall(i, 6*time.Second))
	}
	is.Equal(o.confirmedAt(), epoch.Add(6*time.Second))
}

// TestSparedHostsAreToldOfTheReturn checks that hosts that made no call during an outage learn of
// its end like the others, and report both its beginning and its end.
func TestSparedHostsAreToldOfTheReturn(t *testing.T) {
	is := is.New(t)
	w := newSimulation(9, 99, 3)
	w.run(10 * time.Second)
	w.down = silent
	w.run(6 * time.Second)
	w.down = open
	revision := w.change()
	w.run(maxChangeDelay)
	for _, h := range w.hosts {
		is.Equal(h.Revision(), revision)
		is.Equal(h.recoveries, 1)
		is.Equal(h.events[event.StoreLost], 1)
		is.Equal(h.events[event.StoreRegained], 1)
	}
}

// TestReturnIsSeenWithoutTheFirstHosts makes all hosts that ping the store during an outage fail
// when the store recovers. The other hosts must detect its recovery themselves.
func TestReturnIsSeenWithoutTheFirstHosts(t *testing.T) {
	const gone = 12
	for name, fault := range hostFaults {
		t.Run(name, func(t *testing.T) {
			for offset := range 10 {
				w := newSimulation(uint64(offset), 99, 3)
				w.run(10 * time.Second)
				w.down = []path{refused, silent}[offset%2]
				w.run(4*time.Second + time.Duration(offset)*130*time.Millisecond)
				for _, h := range w.hosts[:gone] {
					fault(h)
				}
				w.down = open
				w.change()
				w.run(maxChangeDelay)
				for i, h := range w.hosts[gone:] {
					if h.Revision() < w.revision {
						t.Errorf("offset %d: host %d knows %d, not %d", offset, gone+i, h.Revision(), w.revision)
					}
				}
			}
		})
	}
}

// TestStoreThatTurnsSomeAway covers a store that refuses some hosts, among them those that ping
// it for the fleet. The others may consider it unreachable at first, but only for a short time.
func TestStoreThatTurnsSomeAway(t *testing.T) {
	for _, share := range []float64{0.35, 0.65, 0.8} {
		for seed := range uint64(20) {
			w := newSimulation(seed, 99, 3)
			w.run(10 * time.Second)
			for i, h := range w.hosts {
				if i < 12 || w.random.Float64() < share {
					h.store = refused
				}
			}
			slowest := 0.0
			for range 6 {
				revision, began := w.change(), w.now
				for w.now.Before(began.Add(maxChangeDelay + partialOutageDelay)) {
					w.run(50 * time.Millisecond)
					if w.allKnow(revision) {
						break
					}
				}
				slowest = math.Max(slowest, w.now.Sub(began).Seconds())
			}
			if slowest >= (maxChangeDelay + partialOutageDelay).Seconds() {
				t.Errorf("share %v, seed %d: a change was not known after %v s", share, seed, slowest)
			}
		}
	}
}

// TestRandomOutages runs fleets with random faults through full and partial outages of the store.
func TestRandomOutages(t *testing.T) {
	for seed := range uint64(100) {
		w := newSimulation(seed, 6+int(seed%40), 1+int(seed%5))
		w.run(5 * time.Second)
		for range 8 {
			w.down = []path{refused, silent}[w.random.IntN(2)]
			w.run(time.Duration(w.random.Float64() * float64(6*time.Second)))
			if w.random.IntN(2) == 0 {
				w.injectFault()
			}
			w.down = open
			w.change()
			w.expect(func(host int, revision, known uint64) {
				t.Errorf("seed %d: host %d knows %d, not %d", seed, host, known, revision)
			})
			w.run(maxChangeDelay + time.Duration(w.random.Float64()*float64(3*time.Second)))
		}
	}
}

package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// This file tells a host that has started, or was suspended, which requests its peers refuse because
// upstreams crashed under them. It would otherwise send them until it learns of them by chance.

const (
	// quarantineAskHosts is how many hosts are asked at a time. Some of them may have started as well.
	quarantineAskHosts = 4
	// quarantineAskInterval is how long an answer may take before others are asked too. Hosts are
	// some milliseconds apart.
	quarantineAskInterval = 40 * time.Millisecond
	// quarantineAskTime is how long the first requests after a start wait for an answer.
	quarantineAskTime = 150 * time.Millisecond
	// informedAfter is how long after its start a host knows what its peers refuse even if none of
	// those that it asked does: the others have told it several times.
	informedAfter = convergeDelay
	// maxWaiting bounds the hosts that are told what this host learns, and maxToldAtOnce the requests
	// of which they are told. tellInterval is the pause between two times.
	maxWaiting    = 1024
	maxToldAtOnce = 3
	tellInterval  = 100 * time.Millisecond
	// maxEvidence bounds the requests of which a host is told when it asks.
	maxEvidence = 16
)

// quarantineLearner asks peers which requests they refuse.
type quarantineLearner struct {
	gateway  *Gateway
	informed atomic.Bool // whether this host knows what its peers refuse
	running  atomic.Bool

	mu sync.Mutex
	// waiting are the hosts that asked while this host was not informed, and until when they are
	// told what it learns.
	waiting map[netip.AddrPort]time.Time
	// told is the number of crashes that they were last told.
	told int
}

// known answers a peer's question: crashes that show which requests are refused, and whether this
// host knows what its peers refuse.
func (l *quarantineLearner) known(from netip.AddrPort) ([]poison.Crash, bool) {
	informed := l.informed.Load()
	if !informed {
		l.addWaiting(clock.Now(), from)
	}
	groups := l.gateway.proxy.QuarantineEvidence(clock.Now())
	return slices.Concat(gossip.Sample(groups, maxEvidence, rand.IntN)...), informed
}

func (l *quarantineLearner) addWaiting(now time.Time, from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = make(map[netip.AddrPort]time.Time)
	}
	if len(l.waiting) < maxWaiting {
		l.waiting[from] = now.Add(informedAfter)
	}
}

// tellWaiting tells the hosts that asked in vain what this host has learned since. If a whole fleet
// starts, its hosts don't know one another yet, but they all ask the seeds.
func (l *quarantineLearner) tellWaiting(now time.Time) {
	l.mu.Lock()
	maps.DeleteFunc(l.waiting, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	waiting := slices.Collect(maps.Keys(l.waiting))
	l.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	groups := l.gateway.proxy.QuarantineEvidence(now)
	crashes := slices.Concat(gossip.Sample(groups, maxToldAtOnce, rand.IntN)...)
	if len(crashes) == l.told {
		return
	}
	l.told = len(crashes)
	l.gateway.fleet.transport.SendCrashes(waiting, crashes)
}

// run asks until a host has answered that is informed itself.
func (l *quarantineLearner) run(ctx context.Context) {
	if !l.running.CompareAndSwap(false, true) {
		return
	}
	defer l.running.Store(false)
	l.informed.Store(false)
	start := clock.Now()
	informed := l.ask(ctx, quarantineAskTime)
	l.gateway.proxy.QuarantinesKnown()
	for !informed && clock.Since(start) < informedAfter && ctx.Err() == nil {
		time.Sleep(gossip.RepeatInterval)
		informed = l.ask(ctx, quarantineAskInterval)
	}
	l.informed.Store(true)
	reason := "peer"
	if !informed {
		reason = "alone"
	}
	l.gateway.emit(event.Event{Code: event.QuarantinesLearned, Reason: reason, Value: clock.Since(start).Milliseconds()})
}

// ask asks peers for up to the given time. It reports whether one of them is informed; it returns
// early if all that were asked have answered that they aren't.
func (l *quarantineLearner) ask(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		peers := gossip.Sample(l.gateway.fleet.othersAndSeeds(), quarantineAskHosts, rand.IntN)
		if informed, complete := l.askOnce(ctx, peers); informed || complete {
			return informed
		}
	}
	return false
}

// askOnce asks some peers and waits for quarantineAskInterval. Complete is set if all have answered.
func (l *quarantineLearner) askOnce(ctx context.Context, peers []netip.AddrPort) (informed, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, quarantineAskInterval)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, peer := range peers {
		answer, forget := l.gateway.fleet.transport.AskQuarantines(peer)
		defer forget()
		go func() {
			select {
			case informed := <-answer:
				answers <- informed
			case <-ctx.Done():
			}
		}()
	}
	for range peers {
		select {
		case informed = <-answers:
			if informed {
				return true, true
			}
		case <-ctx.Done():
			return false, false
		}
	}
	return false, true
}

// othersAndSeeds returns the other hosts that are known, and the seeds: a host that has just started
// knows only these.
func (f *fleet) othersAndSeeds() []netip.AddrPort {
	out := slices.Clone(*f.others.Load())
	self := f.transportAddress(f.address)
	for _, seed := range f.seeds() {
		if a := f.transportAddress(seed); a != self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

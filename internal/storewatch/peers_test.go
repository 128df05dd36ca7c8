package storewatch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// fakeNetwork is the network between the watchers of one test.
type fakeNetwork struct {
	mu          sync.Mutex
	watchers    map[netip.AddrPort]*Watcher
	omitChanges bool // messages omit the changes
	fetches     int
}

func (x *fakeNetwork) fetchCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fetches
}

// port is the network as seen by one watcher.
type port struct {
	*fakeNetwork
}

func (p port) Send(to []netip.AddrPort, t *PeerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	message := *t
	if p.omitChanges {
		message.After, message.Changes = 0, nil
	}
	for _, a := range to {
		if f := p.watchers[a]; f != nil { // nil if it has not started
			f.ApplyPeerMessage(&message)
		}
	}
}

func (p port) Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*PeerMessage, error) {
	p.mu.Lock()
	f := p.watchers[peer]
	p.fetches++
	p.mu.Unlock()
	if f == nil {
		return nil, errors.New("nobody there")
	}
	return f.ServeFetch(ctx, after)
}

func hostAt(n byte) storesync.Host {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7200)
	return storesync.Host{Address: a, FailureDomain: "a"}
}

// startWatchers starts watchers, each with its own store.
func startWatchers(t *testing.T, x *fakeNetwork, stores ...*fakeStore) []*testWatcher {
	x.watchers = make(map[netip.AddrPort]*Watcher)
	var hosts []storesync.Host
	for i := range stores {
		hosts = append(hosts, hostAt(byte(i+1)))
	}
	var out []*testWatcher
	for i, s := range stores {
		f := startWatcherWith(t, s, func(c *Config) {
			c.Self = hosts[i]
			c.Peers = port{x}
			c.FetchTimeout = 300 * time.Millisecond
		})
		f.watcher.SetHosts(hosts, true)
		x.mu.Lock()
		x.watchers[hosts[i].Address] = f.watcher
		x.mu.Unlock()
		out = append(out, f)
	}
	return out
}

// TestPeersTellOfChanges checks that only the first host watches its store, and that the others
// receive a change with the message or fetch it.
func TestPeersTellOfChanges(t *testing.T) {
	for name, omitChanges := range map[string]bool{"with the message": false, "asked for": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := newFakeStore(), newFakeStore()
				put := func(id string) { // the same store, as seen from two hosts
					first.put(id)
					second.put(id)
				}
				put("early")
				x := &fakeNetwork{omitChanges: omitChanges}
				all := startWatchers(t, x, first, second)
				time.Sleep(2 * time.Second)
				before := x.fetchCount()
				put("a")
				time.Sleep(100 * time.Millisecond)
				for _, f := range all {
					_, ok := f.learnedAfter("a", time.Now())
					is.True(ok)
				}
				is.Equal(x.fetchCount() > before, omitChanges)
				is.Equal(second.watchCalls(), 0)
			})
		})
	}
}

// TestHostThatTheStoreTurnsAwayLearnsFromItsPeer covers a host that the store refuses from its
// start.
func TestHostThatTheStoreTurnsAwayLearnsFromItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		healthy, refusing := newFakeStore(), newFakeStore()
		refusing.down = true
		healthy.put("a")
		all := startWatchers(t, new(fakeNetwork), healthy, refusing)
		time.Sleep(time.Second)
		_, ok := all[1].learnedAfter("a", time.Now())
		is.True(ok)
		healthy.put("b")
		time.Sleep(time.Second)
		_, ok = all[1].learnedAfter("b", time.Now())
		is.True(ok)
	})
}

// TestHostsAreWarnedOfAnOutage checks that most hosts make no call during an outage, report it,
// and know in time what has changed when the store recovers.
func TestHostsAreWarnedOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 40
		store := newFakeStore()
		store.put("a")
		var stores []*fakeStore
		for range hosts {
			stores = append(stores, store)
		}
		all := startWatchers(t, new(fakeNetwork), stores...)
		time.Sleep(3 * time.Second)
		before := store.allCalls()
		store.change(func() { store.down = true })
		time.Sleep(6 * time.Second)
		calls := store.allCalls() - before
		t.Logf("%d calls of %d hosts", calls, hosts)
		is.True(calls < 2*hosts)
		for _, f := range all {
			is.Equal(f.count(event.StoreLost), 1)
		}
		store.change(func() { store.down = false })
		all[0].expectInTime(t, "b")
		for _, f := range all {
			_, ok := f.learnedAfter("b", time.Now())
			is.True(ok)
			is.Equal(f.count(event.StoreRegained), 1)
			is.Equal(f.outages(), 1)
		}
	})
}

// TestPeerThatKnowsNothing checks that a peer without state does not delay a starting host.
func TestPeerThatKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		healthy, refusing := newFakeStore(), newFakeStore()
		refusing.down = true
		healthy.put("a")
		all := startWatchers(t, new(fakeNetwork), refusing, healthy)
		time.Sleep(time.Second)
		_, ok := all[1].learnedAfter("a", time.Now())
		is.True(ok)
		_, err := NewWatcher(Config{}).serveFetchNow()
		is.True(errors.Is(err, ErrNoState))
	})
}

// serveFetchNow is ServeFetch for a watcher that is not running.
func (w *Watcher) serveFetchNow() (*PeerMessage, error) {
	go func() { (<-w.inputs)() }()
	return w.ServeFetch(context.Background(), 0)
}

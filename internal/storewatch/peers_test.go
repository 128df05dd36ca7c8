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

// exchange is the network among the followers of one test.
type exchange struct {
	mu        sync.Mutex
	followers map[netip.AddrPort]*Watcher
	bare      bool // messages leave the changes out
	asked     int
}

func (x *exchange) questions() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.asked
}

// port is the exchange as one follower sees it.
type port struct {
	*exchange
}

func (p port) Send(to []netip.AddrPort, t *PeerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := *t
	if p.bare {
		own.After, own.Changes = 0, nil
	}
	for _, a := range to {
		if f := p.followers[a]; f != nil { // else it has not started
			f.ApplyPeerMessage(&own)
		}
	}
}

func (p port) Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*PeerMessage, error) {
	p.mu.Lock()
	f := p.followers[peer]
	p.asked++
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

// group starts followers that each have a store of their own, all alike.
func group(t *testing.T, x *exchange, stores ...*fakeStore) []*following {
	x.followers = make(map[netip.AddrPort]*Watcher)
	var hosts []storesync.Host
	for i := range stores {
		hosts = append(hosts, hostAt(byte(i+1)))
	}
	var out []*following
	for i, s := range stores {
		f := beginAs(t, s, func(c *Config) {
			c.Self = hosts[i]
			c.Peers = port{x}
			c.FetchTimeout = 300 * time.Millisecond
		})
		f.follower.SetHosts(hosts, true)
		x.mu.Lock()
		x.followers[hosts[i].Address] = f.follower
		x.mu.Unlock()
		out = append(out, f)
	}
	return out
}

// TestPeersTellOfChanges: only the first host watches its store; the others have
// the change with the message, or ask for it.
func TestPeersTellOfChanges(t *testing.T) {
	for name, bare := range map[string]bool{"with the message": false, "asked for": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := newFakeStore(), newFakeStore()
				put := func(id string) { // the same store, seen from two hosts
					first.put(id)
					second.put(id)
				}
				put("early")
				x := &exchange{bare: bare}
				all := group(t, x, first, second)
				time.Sleep(2 * time.Second)
				before := x.questions()
				put("a")
				time.Sleep(100 * time.Millisecond)
				for _, f := range all {
					_, ok := f.after("a", time.Now())
					is.True(ok)
				}
				is.Equal(x.questions() > before, bare)
				is.Equal(second.watchCalls(), 0)
			})
		})
	}
}

// TestHostThatTheStoreTurnsAwayLearnsFromItsPeer starts it after the others.
func TestHostThatTheStoreTurnsAwayLearnsFromItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		open, shut := newFakeStore(), newFakeStore()
		shut.down = true
		open.put("a")
		all := group(t, new(exchange), open, shut)
		time.Sleep(time.Second)
		_, ok := all[1].after("a", time.Now())
		is.True(ok)
		open.put("b")
		time.Sleep(time.Second)
		_, ok = all[1].after("b", time.Now())
		is.True(ok)
	})
}

// TestHostsAreWarnedOfAnOutage: most of them make no call while the store is away,
// say that it is, and know in time what has changed when it returns.
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
		all := group(t, new(exchange), stores...)
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
		all[0].inTime(t, "b")
		for _, f := range all {
			_, ok := f.after("b", time.Now())
			is.True(ok)
			is.Equal(f.count(event.StoreRegained), 1)
			is.Equal(f.outages(), 1)
		}
	})
}

// TestPeerThatKnowsNothing does not hold up a host that starts.
func TestPeerThatKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		open, shut := newFakeStore(), newFakeStore()
		shut.down = true
		open.put("a")
		all := group(t, new(exchange), shut, open)
		time.Sleep(time.Second)
		_, ok := all[1].after("a", time.Now())
		is.True(ok)
		_, err := NewWatcher(Config{}).AnswerNow()
		is.True(errors.Is(err, ErrNoState))
	})
}

// AnswerNow is Answer of a follower that does not run.
func (f *Watcher) AnswerNow() (*PeerMessage, error) {
	go func() { (<-f.inputs)() }()
	return f.ServeFetch(context.Background(), 0)
}

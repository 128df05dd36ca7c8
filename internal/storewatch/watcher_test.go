package storewatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

var errDown = errors.New("down")

// fakeStore answers in virtual time. Calls fail while down is set.
type fakeStore struct {
	mu           sync.Mutex
	revision     uint64
	oldest       uint64
	events       []Event
	down         bool
	unresponsive bool // calls block until their context ends
	watchStalled bool // watches return no changes
	calls        int
	reads        int
	watches      int
	changed      chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) put(id string) {
	s.change(func() {
		s.revision++
		s.events = append(s.events, Event{Upstream: &discovery.Upstream{ID: id, Revision: s.revision}, Revision: s.revision})
	})
}

func (s *fakeStore) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	down, unresponsive := s.down, s.unresponsive
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errDown
	}
	return nil
}

func (s *fakeStore) ReadInitial(ctx context.Context) (*State, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &State{Revision: s.revision}
	if len(s.events) > 0 {
		out.Upstreams = append(out.Upstreams, *s.events[0].Upstream)
	}
	return out, nil
}

func (s *fakeStore) ReadAll(ctx context.Context, initial *State) (*State, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	out := &State{Revision: initial.Revision}
	for _, e := range s.events {
		out.Upstreams = append(out.Upstreams, *e.Upstream)
	}
	return out, nil
}

func (s *fakeStore) Revision(ctx context.Context) (uint64, error) {
	if err := s.call(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, nil
}

func (s *fakeStore) Ping(ctx context.Context) error { return s.call(ctx) }

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	s.mu.Lock()
	s.watches++
	stalled := s.watchStalled // fixed for the duration of the call
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		if err := s.call(ctx); err != nil {
			return nil, err
		}
		s.mu.Lock()
		changed := s.changed
		out := &Changes{Revision: s.revision}
		for _, e := range s.events {
			if e.Revision > after {
				out.Events = append(out.Events, e)
			}
		}
		lost := after < s.oldest
		s.mu.Unlock()
		switch {
		case stalled:
		case lost:
			return nil, ErrHistoryLost
		case len(out.Events) > 0:
			out.Items = len(out.Events)
			return out, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout:
			return &Changes{Revision: after}, nil
		case <-changed:
		}
	}
}

// testWatcher is a running Watcher with the times at which it learned of upstreams, and the
// number of recoveries that it reported.
type testWatcher struct {
	store      *fakeStore
	watcher    *Watcher
	mu         sync.Mutex
	learned    map[string]time.Time
	recoveries int
	events     map[event.Code]int
}

func (f *testWatcher) Emit(e event.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[e.Code]++
}

func (f *testWatcher) count(c event.Code) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[c]
}

func (f *testWatcher) outages() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveries
}

func (s *fakeStore) readCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *fakeStore) allCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) watchCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (f *testWatcher) learn(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.learned[id]; !ok {
		f.learned[id] = time.Now()
	}
}

func startWatcher(t *testing.T, store *fakeStore) *testWatcher {
	return startWatcherWith(t, store, func(*Config) {})
}

// startWatcherWith changes the watcher's configuration before it runs.
func startWatcherWith(t *testing.T, store *fakeStore, change func(*Config)) *testWatcher {
	f := &testWatcher{store: store, learned: make(map[string]time.Time), events: make(map[event.Code]int)}
	conf := Config{
		Store: store,
		Sync: storesync.Config{
			MaxChangeDelay:         bound,
			SoloCheckInterval:      2600 * time.Millisecond,
			MaxWatchDelay:          150 * time.Millisecond,
			DebounceMin:            150 * time.Millisecond,
			DebounceMax:            1300 * time.Millisecond,
			MinOutage:              500 * time.Millisecond,
			RecoveryAnnouncePeriod: 3 * time.Second,
			RetryMin:               150 * time.Millisecond,
			RetryMax:               400 * time.Millisecond,
			Jitter:                 rand.Float64,
		},
		OnInitialRead: func(s *State) bool {
			for _, u := range s.Upstreams {
				f.learn(u.ID)
			}
			return false
		},
		FullReadSpread: time.Second, FullReadTimeout: 5 * time.Second,
		OnRead: func(s *State) {
			for _, u := range s.Upstreams {
				f.learn(u.ID)
			}
		},
		OnChanges: func(c *Changes) {
			for _, e := range c.Events {
				f.learn(e.Upstream.ID)
			}
		},
		OnRecovery: func(time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.recoveries++
		},
		Events:             f,
		WatchWait:          30 * time.Second,
		InitialReadTimeout: 2 * time.Second,
		CheckTimeout:       700 * time.Millisecond,
	}
	change(&conf)
	f.watcher = NewWatcher(conf)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// learnedAfter returns how long after from the ID was learned, and false if it was not learned.
func (f *testWatcher) learnedAfter(id string, from time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.learned[id]
	return at.Sub(from), ok
}

// bound is the time within which a change must take effect on the known platforms.
const bound = 2 * time.Second

// expectInTime checks that a change made now is learned within the bound.
func (f *testWatcher) expectInTime(t *testing.T, id string) {
	t.Helper()
	from := time.Now()
	f.store.put(id)
	time.Sleep(bound)
	took, ok := f.learnedAfter(id, from)
	if !ok || took > bound {
		t.Fatalf("%s: learned %v after %v", id, ok, took)
	}
}

func TestChangesAreLearnedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			f.expectInTime(t, id)
		}
	})
}

// TestBurstCostsFewCalls makes a change every 50 ms for five seconds.
func TestBurstCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		before := store.watchCalls()
		for i := range 100 {
			store.put(string(rune('a' + i)))
			time.Sleep(50 * time.Millisecond)
		}
		is.True(store.watchCalls()-before <= 10)
		f.expectInTime(t, "last")
	})
}

// TestWatchThatHearsNothingIsBegunAnew covers a store that answers every call but never returns
// changes from the pending watch.
func TestWatchThatHearsNothingIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.change(func() { store.watchStalled = true })
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		store.change(func() { store.watchStalled = false })
		store.put("a")
		time.Sleep(3 * time.Second) // the time allowed after a fault of the store
		_, ok := f.learnedAfter("a", time.Now())
		is.True(ok)
		is.Equal(f.count(event.StoreWatchBehind), 1)
		is.Equal(f.outages(), 0)
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		store.change(func() {
			store.revision += 5
			store.oldest = store.revision
			store.events = []Event{{Upstream: &discovery.Upstream{ID: "a"}, Revision: store.revision}}
		})
		time.Sleep(bound)
		_, ok := f.learnedAfter("a", time.Now())
		is.True(ok)
		is.Equal(store.readCalls(), 2)
		is.Equal(f.count(event.StoreHistoryLost), 1)
	})
}

// TestSilentStore makes the store stop answering while a watch is pending, and recover.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		store.change(func() { store.unresponsive = true })
		time.Sleep(10 * time.Second)
		is.Equal(f.count(event.StoreLost), 1)
		store.change(func() { store.unresponsive = false })
		time.Sleep(3 * time.Second)
		is.Equal(f.count(event.StoreRegained), 1)
		is.Equal(f.outages(), 1)
		f.expectInTime(t, "a")
	})
}

// TestShortLossIsNoOutage checks that a single failed call does not count as an outage in which
// leases may have expired.
func TestShortLossIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		f := startWatcher(t, store)
		time.Sleep(time.Second)
		store.change(func() { store.down = true })
		time.Sleep(100 * time.Millisecond)
		store.change(func() { store.down = false })
		time.Sleep(time.Second)
		is.Equal(f.count(event.StoreRegained), 1)
		is.Equal(f.outages(), 0)
	})
}

// Package events keeps an entry host's recent decision events in bounded memory and
// streams them to live watchers.
//
// Ring is an event.Sink for the goroutines that serve requests: Emit never blocks. Events
// that are not kept are counted by cause in Stats. All events of a request are in the same
// shard, so that a lookup by request ID reads only a small part of the ring.
package events

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const numShards = 64

// Defaults for Config.
const (
	DefaultCapacity         = 1 << 15
	DefaultDebugPerSecond   = 20_000
	defaultSubscriberBuffer = 1024
)

// Config sets the limits of a Ring.
type Config struct {
	// Capacity is the number of events kept, at 168 bytes each plus their texts. Default: 32768.
	Capacity int
	// DebugPerSecond is the number of Debug events kept per second before sampling
	// starts. Events of a higher level are not sampled. Default: 20000.
	DebugPerSecond int
}

// Stats counts events since the start of the process.
type Stats struct {
	// Kept counts the events written to the ring.
	Kept uint64
	// SampledOut counts the Debug events beyond the budget that sampling dropped.
	SampledOut uint64
	// DroppedBusy counts the events that were dropped because their shard stayed locked
	// while it was being read.
	DroppedBusy uint64
	// DroppedWatchers counts the events that slow watchers missed.
	DroppedWatchers uint64
	// Watchers is the number of live watchers.
	Watchers int
}

// Ring implements event.Sink.
type Ring struct {
	shards [numShards]shard
	budget int
	seed   maphash.Seed

	subMu sync.Mutex
	subs  atomic.Pointer[[]*Subscription]

	sampledOut      atomic.Uint64
	droppedBusy     atomic.Uint64
	droppedWatchers atomic.Uint64
}

// NewRing returns an empty ring.
func NewRing(c Config) *Ring {
	c.Capacity = cmp.Or(c.Capacity, DefaultCapacity)
	c.DebugPerSecond = cmp.Or(c.DebugPerSecond, DefaultDebugPerSecond)
	r := &Ring{budget: max(c.DebugPerSecond/numShards, 1), seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].slots = make([]event.Event, max(c.Capacity/numShards, 1))
	}
	return r
}

// Emit implements event.Sink. It neither blocks nor allocates.
func (r *Ring) Emit(e event.Event) {
	hash := maphash.String(r.seed, e.Request)
	s := &r.shards[hash%numShards]
	level := levelOf(e.Code)
	kept := false
	if s.lock(level) {
		kept = level > event.Debug || s.admit(&e, hash, r.budget)
		if kept {
			s.put(&e)
		}
		s.mu.Unlock()
		if !kept {
			r.sampledOut.Add(1)
		}
	} else {
		r.droppedBusy.Add(1)
	}
	if subs := r.subs.Load(); subs != nil {
		r.notify(*subs, &e, kept)
	}
}

// notify offers e to the watchers. A watcher of one request gets all of its events; other
// watchers get only the events that the ring kept.
func (r *Ring) notify(subs []*Subscription, e *event.Event, kept bool) {
	for _, s := range subs {
		if !kept && s.filter.Request == "" {
			continue
		}
		if s.filter.Match(e) && !s.offer(e) {
			r.droppedWatchers.Add(1)
		}
	}
}

// Lookup returns the kept events of one request, oldest first.
func (r *Ring) Lookup(request string) []event.Event {
	if request == "" {
		return nil
	}
	f := &Filter{Request: request}
	out := r.shards[maphash.String(r.seed, request)%numShards].scan(f, nil)
	sortByTime(out)
	return out
}

// Recent returns at most limit of the newest kept events that f selects, oldest first.
func (r *Ring) Recent(f Filter, limit int) []event.Event {
	var out []event.Event
	for i := range r.shards {
		out = r.shards[i].scan(&f, out)
	}
	sortByTime(out)
	return out[max(len(out)-limit, 0):]
}

func sortByTime(events []event.Event) {
	slices.SortStableFunc(events, func(a, b event.Event) int { return a.At.Compare(b.At) })
}

// Stats returns the current counts.
func (r *Ring) Stats() Stats {
	st := Stats{
		SampledOut:      r.sampledOut.Load(),
		DroppedBusy:     r.droppedBusy.Load(),
		DroppedWatchers: r.droppedWatchers.Load(),
	}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		st.Kept += s.next
		s.mu.Unlock()
	}
	if subs := r.subs.Load(); subs != nil {
		st.Watchers = len(*subs)
	}
	return st
}

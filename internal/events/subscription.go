package events

import (
	"slices"
	"sync/atomic"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Subscription is a live watcher. Its owner receives from C and calls Close.
type Subscription struct {
	// C delivers the selected events. It is never closed.
	C       <-chan event.Event
	out     chan event.Event
	filter  Filter
	dropped atomic.Uint64
	ring    *Ring
}

// Subscribe adds a watcher of the events that f selects, with a buffer for the given number
// of events (1024 if buffer is less than 1). When the buffer is full, events are dropped
// and counted.
func (r *Ring) Subscribe(f Filter, buffer int) *Subscription {
	if buffer < 1 {
		buffer = defaultSubscriberBuffer
	}
	out := make(chan event.Event, buffer)
	s := &Subscription{C: out, out: out, filter: f, ring: r}
	r.updateSubs(func(subs []*Subscription) []*Subscription { return append(subs, s) })
	return s
}

// Close removes the watcher.
func (s *Subscription) Close() {
	s.ring.updateSubs(func(subs []*Subscription) []*Subscription {
		return slices.DeleteFunc(subs, func(o *Subscription) bool { return o == s })
	})
}

// Dropped returns the number of events this watcher missed.
func (s *Subscription) Dropped() uint64 { return s.dropped.Load() }

func (s *Subscription) offer(e *event.Event) bool {
	select {
	case s.out <- *e:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// updateSubs replaces the list of watchers with a changed copy, so that concurrent readers
// see either the old list or the new one.
func (r *Ring) updateSubs(change func([]*Subscription) []*Subscription) {
	r.subMu.Lock()
	defer r.subMu.Unlock()
	var current []*Subscription
	if p := r.subs.Load(); p != nil {
		current = slices.Clone(*p)
	}
	next := change(current)
	if len(next) == 0 {
		r.subs.Store(nil)
		return
	}
	r.subs.Store(&next)
}

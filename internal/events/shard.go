package events

import (
	"runtime"
	"sync"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// debugAttempts is how often a writer tries a shard's lock before it drops a
	// Debug event.
	debugAttempts = 64
	// keepAttempts is the same for a higher level; the writer yields between tries.
	keepAttempts = 4096
	// scanChunk is the number of slots that a reader visits under one lock, so
	// that a writer meets a held lock for microseconds at most.
	scanChunk = 32
	// sampleMask keeps one request in 16 whole once a shard's budget is spent.
	sampleMask = 15
	// hardLimit times the budget, not even sampled Debug events are kept.
	hardLimit = 2
)

// shard is one part of the ring: a fixed array that is written round and round.
type shard struct {
	mu     sync.Mutex
	slots  []event.Event
	next   uint64
	second int64
	spent  int
	_      [64]byte // keeps neighbours' locks off this cache line
}

// lock tries for the shard's lock for a bounded time, longer for events that
// should always be kept.
func (s *shard) lock(level event.Level) bool {
	for range debugAttempts {
		if s.mu.TryLock() {
			return true
		}
	}
	if level == event.Debug {
		return false
	}
	for range keepAttempts {
		runtime.Gosched()
		if s.mu.TryLock() {
			return true
		}
	}
	return false
}

// admit decides, under the lock, whether a Debug event is within the budget of
// its second. Over it, one request in 16 is kept whole.
func (s *shard) admit(e *event.Event, hash uint64, budget int) bool {
	if now := e.At.Unix(); now != s.second {
		s.second = now
		s.spent = 0
	}
	if s.spent < budget {
		s.spent++
		return true
	}
	if s.spent >= hardLimit*budget || (hash>>32)&sampleMask != 0 {
		return false
	}
	s.spent++
	return true
}

// put stores e over the oldest event.
func (s *shard) put(e *event.Event) {
	s.slots[s.next%uint64(len(s.slots))] = *e
	s.next++
}

// scan appends the stored events that f selects, oldest first. Events that are
// overwritten while it runs are passed over.
func (s *shard) scan(f *Filter, out []event.Event) []event.Event {
	size := uint64(len(s.slots))
	s.mu.Lock()
	end := s.next
	s.mu.Unlock()
	at := end - min(end, size)
	for at < end {
		s.mu.Lock()
		if oldest := s.next - min(s.next, size); at < oldest {
			at = oldest
		}
		for stop := min(at+scanChunk, end); at < stop; at++ {
			if e := &s.slots[at%size]; f.Match(e) {
				out = append(out, *e)
			}
		}
		s.mu.Unlock()
	}
	return out
}

package events

import (
	"runtime"
	"sync"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// debugAttempts is the number of times that a writer tries to lock a shard before it
	// drops a Debug event.
	debugAttempts = 64
	// yieldAttempts is the number of further attempts for an event of a higher level; the
	// writer yields before each of them.
	yieldAttempts = 4096
	// scanChunk is the number of slots that a reader scans before it releases the lock, so
	// that it holds the lock for microseconds at most.
	scanChunk = 32
	// sampleMask selects one request in 16, whose events are kept once a shard's budget is
	// spent.
	sampleMask = 15
	// hardLimitFactor times the budget is the limit beyond which sampled Debug events are
	// dropped too.
	hardLimitFactor = 2
)

// shard is one part of the ring: a circular buffer of fixed size.
type shard struct {
	mu     sync.Mutex
	slots  []event.Event
	next   uint64
	second int64
	spent  int
	_      [64]byte // padding against false sharing between adjacent shards
}

// lock tries a bounded number of times to lock the shard, more often for events of a level
// above Debug, which should always be kept.
func (s *shard) lock(level event.Level) bool {
	for range debugAttempts {
		if s.mu.TryLock() {
			return true
		}
	}
	if level == event.Debug {
		return false
	}
	for range yieldAttempts {
		runtime.Gosched()
		if s.mu.TryLock() {
			return true
		}
	}
	return false
}

// admit reports whether a Debug event is to be kept: it is within the budget of its second,
// or belongs to the one request in 16 whose events are kept beyond the budget, up to the
// hard limit. s.mu must be held.
func (s *shard) admit(e *event.Event, hash uint64, budget int) bool {
	if now := e.At.Unix(); now != s.second {
		s.second = now
		s.spent = 0
	}
	if s.spent < budget {
		s.spent++
		return true
	}
	if s.spent >= hardLimitFactor*budget || (hash>>32)&sampleMask != 0 {
		return false
	}
	s.spent++
	return true
}

// put overwrites the oldest event with e. s.mu must be held.
func (s *shard) put(e *event.Event) {
	s.slots[s.next%uint64(len(s.slots))] = *e
	s.next++
}

// scan appends the stored events that f selects to out, oldest first. Events that are
// overwritten during the scan are skipped.
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

// Package returning recognizes callers that come back after they were refused, at the time
// that they were told. A Ledger holds one note for each refusal; a request whose caller has a
// note that is due consumes it. The package does not read a clock or use random numbers.
package returning

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxNotes bounds the notes in a Ledger, which then takes about 500 KB.
	MaxNotes = 4096
	// MaxLate is how long a note remains valid after it is due.
	MaxLate = 5 * time.Second
	// MaxWait is the longest time until a note is due. A caller that is told to wait longer
	// gets no note.
	MaxWait = 30 * time.Second
)

// CustomerCaller returns the number of a caller that is known by its customer's name.
func CustomerCaller(name string) uint64 { return callerNumber("customer:" + name) }

// AddressCaller returns the number of a caller that is known by its IP only.
func AddressCaller(ip string) uint64 { return callerNumber("address:" + ip) }

// callerNumber returns a number other than 0, which stands for an unknown caller.
func callerNumber(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

// ValidWait reports whether a note may be due after wait.
func ValidWait(wait time.Duration) bool { return wait >= 0 && wait <= MaxWait }

// note is one refusal of a caller.
type note struct {
	caller uint64
	due    time.Time
	number uint64 // in the order of arrival
	index  int    // in the heap
}

// Ledger holds the notes of refused callers. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	byDue    dueHeap
	byCaller map[uint64][]*note // ordered by due, then by number
	count    uint64             // of notes that arrived
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{byCaller: make(map[uint64][]*note)} }

// Refused records that a caller was refused and told to come back at due, which is at most
// MaxWait from now. Notes that have expired if it is exactly MaxWait from now are removed. If
// the ledger is full, the note that is due first is evicted.
func (l *Ledger) Refused(caller uint64, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(due.Add(-MaxWait))
	l.count++
	n := &note{caller: caller, due: due, number: l.count}
	heap.Push(&l.byDue, n)
	l.byCaller[caller] = insert(l.byCaller[caller], n)
	if len(l.byDue) > MaxNotes {
		l.remove(l.byDue[0])
	}
}

// Take reports whether the caller has a note that is due, by no more than MaxLate, and removes
// that note.
func (l *Ledger) Take(now time.Time, caller uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	notes := l.byCaller[caller]
	if len(notes) == 0 || notes[0].due.After(now) {
		return false
	}
	l.remove(notes[0])
	return true
}

// Len returns the number of notes, including those that have expired and were not removed yet.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byDue)
}

// expire removes the notes that are due by more than MaxLate.
func (l *Ledger) expire(now time.Time) {
	for len(l.byDue) > 0 && now.Sub(l.byDue[0].due) > MaxLate {
		l.remove(l.byDue[0])
	}
}

// remove removes n, which is the first note of its caller: the caller's notes and the heap
// have the same order.
func (l *Ledger) remove(n *note) {
	heap.Remove(&l.byDue, n.index)
	rest := l.byCaller[n.caller][1:]
	if len(rest) == 0 {
		delete(l.byCaller, n.caller)
		return
	}
	l.byCaller[n.caller] = rest
}

// insert inserts n after the notes that are due no later.
func insert(notes []*note, n *note) []*note {
	notes = append(notes, n)
	for i := len(notes) - 1; i > 0 && notes[i-1].due.After(n.due); i-- {
		notes[i-1], notes[i] = notes[i], notes[i-1]
	}
	return notes
}

// dueHeap implements heap.Interface; the note that is due first is at index 0.
type dueHeap []*note

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if c := h[i].due.Compare(h[j].due); c != 0 {
		return c < 0
	}
	return h[i].number < h[j].number
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	n := x.(*note)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}

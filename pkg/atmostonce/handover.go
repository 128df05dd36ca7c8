package atmostonce

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Freeze and Adopt.
var (
	// ErrRunning means that executions have not ended; nothing was frozen.
	ErrRunning = errors.New("executions are running")
	// ErrFrozen means that the ledger was handed over before.
	ErrFrozen = errors.New("already handed over")
	// ErrTooLarge means that a snapshot holds more tickets than the bound.
	ErrTooLarge = errors.New("more tickets than the bound")
)

// Snapshot is a frozen ledger. There must be one copy that is ever adopted:
// it is sent to one incarnation of one host, which adopts it at most once.
type Snapshot struct {
	// Oldest is the sequence number of the first slot.
	Oldest uint64
	// Slots are in the order of their sequence numbers.
	Slots []SavedSlot
}

// SavedSlot is the memory of one ticket.
type SavedSlot struct {
	// Remaining is the time until the lifetime ends; negative if it is over.
	Remaining time.Duration
	// Used is true if the ticket is bound to Digest and ended with Result.
	Used bool
	// Digest is the request's.
	Digest Digest
	// Result is final.
	Result Result
}

// Freeze ends the ledger for good and returns its content: from now on it
// executes nothing and answers "unknown". It returns ErrRunning while
// executions run, and ErrFrozen the second time.
func (l *Ledger) Freeze(now time.Time) (Snapshot, error) {
	now = l.advance(now)
	if l.frozen {
		return Snapshot{}, ErrFrozen
	}
	if l.running > 0 {
		return Snapshot{}, ErrRunning
	}
	l.stopped = true
	l.frozen = true
	snapshot := Snapshot{Oldest: l.oldest, Slots: make([]SavedSlot, 0, l.next-l.oldest)}
	for sequence := l.oldest; sequence < l.next; sequence++ {
		snapshot.Slots = append(snapshot.Slots, l.slot(sequence).save(now))
	}
	return snapshot, nil
}

func (s *slot) save(now time.Time) SavedSlot {
	saved := SavedSlot{Remaining: s.expires.Sub(now)}
	if s.record != nil {
		saved.Used = true
		saved.Digest = s.record.digest
		saved.Result = s.record.result
	}
	return saved
}

// Adopt returns a ledger that goes on where the snapshot ends. It issues no
// tickets. The time that the snapshot travelled is added to the lifetimes.
func Adopt(conf Config, now time.Time, snapshot Snapshot) (*Ledger, error) {
	if len(snapshot.Slots) > conf.MaxTickets {
		return nil, ErrTooLarge
	}
	conf.MaxTickets = max(len(snapshot.Slots), 1)
	l := New(conf, now)
	l.stopped = true
	l.oldest = snapshot.Oldest
	l.next = snapshot.Oldest
	for _, saved := range snapshot.Slots {
		l.restore(now, saved)
	}
	return l, nil
}

func (l *Ledger) restore(now time.Time, saved SavedSlot) {
	s := l.slot(l.next)
	l.next++
	s.expires = now.Add(saved.Remaining)
	if !saved.Used {
		return
	}
	l.running++ // end counts it off
	s.record = &record{digest: saved.Digest}
	l.end(s.record, saved.Result)
}

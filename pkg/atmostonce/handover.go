package atmostonce

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Freeze and Adopt.
var (
	// ErrRunning means that executions are still running; nothing was frozen.
	ErrRunning = errors.New("executions are running")
	// ErrFrozen means that the ledger was already frozen.
	ErrFrozen = errors.New("already handed over")
	// ErrTooLarge means that a snapshot holds more than Config.MaxTickets tickets.
	ErrTooLarge = errors.New("more tickets than the bound")
)

// Snapshot is the content of a frozen ledger. At most one copy may ever be
// adopted: it is sent to a single incarnation of a single host, which adopts it
// at most once.
type Snapshot struct {
	// Oldest is the sequence number of the first slot.
	Oldest uint64
	// Slots are ordered by sequence number.
	Slots []SavedSlot
}

// SavedSlot is the serializable state of one ticket.
type SavedSlot struct {
	// Remaining is the remaining lifetime; negative if the lifetime is over.
	Remaining time.Duration
	// Used is true if the ticket is bound to Digest and finished with Result.
	Used bool
	// Digest identifies the request. It is set only if Used is true.
	Digest Digest
	// Result is the final result. It is set only if Used is true.
	Result Result
}

// Freeze permanently stops the ledger and returns its content. A frozen ledger
// executes nothing and answers "unknown". Freeze returns ErrRunning while
// executions are running, and ErrFrozen if the ledger is already frozen.
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

// Adopt returns a ledger that continues from the snapshot. It issues no tickets.
// Remaining lifetimes count from now, so the transfer time of the snapshot
// extends them.
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
	l.running++ // complete decrements it
	s.record = &record{digest: saved.Digest}
	l.complete(s.record, saved.Result)
}

package atmostonce

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config bounds a Ledger.
type Config struct {
	// Lifetime is how long after its issue a ticket may start to execute.
	Lifetime time.Duration
	// Retention is how long after the lifetime the record still answers.
	Retention time.Duration
	// MaxTickets bounds the tickets whose lifetime and retention are not over.
	MaxTickets int
	// MaxAnswerBytes bounds one answer that is kept, in bytes.
	MaxAnswerBytes int
	// MaxKeptBytes bounds all answers that are kept, in bytes.
	MaxKeptBytes int
}

// DefaultConfig is sized for a small entry host: 1000 tickets a second. A
// ledger at its bounds fits one message between peers.
func DefaultConfig() Config {
	return Config{
		Lifetime:       30 * time.Second,
		Retention:      90 * time.Second,
		MaxTickets:     120_000,
		MaxAnswerBytes: 64 << 10,
		MaxKeptBytes:   12 << 20,
	}
}

// Errors of Issue. No ticket was issued, so nothing ran.
var (
	// ErrFull means that MaxTickets are outstanding.
	ErrFull = errors.New("too many tickets outstanding")
	// ErrStopped means that the ledger issues no more tickets.
	ErrStopped = errors.New("no tickets are issued while stopping")
)

// Ledger remembers what became of each ticket of one incarnation. It is not
// safe for concurrent use.
type Ledger struct {
	conf    Config
	slots   []slot // ring, indexed by sequence number modulo its length
	oldest  uint64 // the first sequence number that still has a slot
	next    uint64 // the next sequence number to issue
	now     time.Time
	kept    int
	running int
	stopped bool
	frozen  bool
}

// slot is the memory of one ticket. A nil record is a ticket not yet used.
type slot struct {
	expires time.Time
	record  *record
}

// New returns an empty ledger. Start is the current time; times that are given
// later must come from the same monotonic clock.
func New(conf Config, start time.Time) *Ledger {
	return &Ledger{conf: conf, slots: make([]slot, conf.MaxTickets), now: start}
}

// Issue reserves a slot and returns the sequence number of a new ticket.
func (l *Ledger) Issue(now time.Time) (uint64, error) {
	now = l.advance(now)
	if l.stopped {
		return 0, ErrStopped
	}
	if l.next-l.oldest >= uint64(len(l.slots)) {
		return 0, ErrFull
	}
	sequence := l.next
	l.next++
	*l.slot(sequence) = slot{expires: now.Add(l.conf.Lifetime)}
	return sequence, nil
}

// Stop ends the issue of tickets. Issued tickets may still execute.
func (l *Ledger) Stop() { l.stopped = true }

// Stats counts what a ledger holds.
type Stats struct {
	// Tickets is the number of slots in use.
	Tickets int
	// Running is the number of executions not yet ended.
	Running int
	// KeptBytes is the memory of kept answers, in bytes.
	KeptBytes int
}

// Stats returns the current counts.
func (l *Ledger) Stats() Stats {
	return Stats{Tickets: int(l.next - l.oldest), Running: l.running, KeptBytes: l.kept}
}

// advance frees the slots whose time is over and returns the latest time that
// the ledger has seen. A caller that read the clock and was then paused cannot
// turn time back.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.now) {
		l.now = now
	}
	for l.oldest < l.next && l.free(l.slot(l.oldest)) {
		l.oldest++
	}
	return l.now
}

// free empties a slot and reports whether it could. Expiry grows with the
// sequence number, so the first slot that stays keeps all later ones.
func (l *Ledger) free(s *slot) bool {
	if l.now.Before(s.expires.Add(l.conf.Retention)) {
		return false
	}
	if s.record != nil {
		if !s.record.state.final() {
			return false
		}
		l.kept -= s.record.kept
	}
	*s = slot{}
	return true
}

func (l *Ledger) slot(sequence uint64) *slot {
	return &l.slots[sequence%uint64(len(l.slots))]
}

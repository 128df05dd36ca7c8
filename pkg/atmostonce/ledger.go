package atmostonce

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config bounds a Ledger.
type Config struct {
	// Lifetime is how long after its issue a ticket may start executing.
	Lifetime time.Duration
	// Retention is how long after its lifetime a ticket's record is kept to answer
	// repeated requests.
	Retention time.Duration
	// MaxTickets bounds the tickets within their lifetime or retention.
	MaxTickets int
	// MaxAnswerBytes bounds the size of one stored response.
	MaxAnswerBytes int
	// MaxStoredBytes bounds the total size of all stored responses.
	MaxStoredBytes int
}

// DefaultConfig returns bounds for a small entry host that issues 1000 tickets
// per second. A ledger at these bounds fits into one message between peers.
func DefaultConfig() Config {
	return Config{
		Lifetime:       30 * time.Second,
		Retention:      90 * time.Second,
		MaxTickets:     120_000,
		MaxAnswerBytes: 64 << 10,
		MaxStoredBytes: 12 << 20,
	}
}

// Errors of Issue. No ticket was issued, so no request was executed.
var (
	// ErrFull means that MaxTickets tickets are outstanding.
	ErrFull = errors.New("too many tickets outstanding")
	// ErrStopped means that the ledger no longer issues tickets.
	ErrStopped = errors.New("no tickets are issued while stopping")
)

// Ledger tracks the state of each ticket of one incarnation. It is not safe for
// concurrent use.
type Ledger struct {
	conf      Config
	slots     []slot    // ring buffer, indexed by sequence number modulo its length
	oldest    uint64    // the first sequence number that still has a slot
	next      uint64    // the next sequence number to issue
	now       time.Time // the latest time passed to any method
	keptBytes int
	running   int
	stopped   bool
	frozen    bool
}

// slot holds the state of one ticket. The record is nil until the ticket is used.
type slot struct {
	expires time.Time
	record  *record
}

// New returns an empty ledger. Start is the current time; all times passed later
// must come from the same monotonic clock.
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

// Stop stops issuing tickets. Tickets already issued may still execute.
func (l *Ledger) Stop() { l.stopped = true }

// Stats describes the current content of a ledger.
type Stats struct {
	// Tickets is the number of slots in use.
	Tickets int
	// Running is the number of executions that have not finished.
	Running int
	// StoredBytes is the total size of stored responses.
	StoredBytes int
}

func (l *Ledger) Stats() Stats {
	return Stats{Tickets: int(l.next - l.oldest), Running: l.running, StoredBytes: l.keptBytes}
}

// advance reclaims slots whose retention is over and returns the latest time that
// the ledger has seen, so that a caller that read the clock and was then paused
// cannot move the ledger's time backwards.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.now) {
		l.now = now
	}
	for l.oldest < l.next && l.reclaim(l.slot(l.oldest)) {
		l.oldest++
	}
	return l.now
}

// reclaim empties a slot whose retention is over and whose execution has
// finished, and reports whether it did. Slots expire in order of their sequence
// numbers, so the first slot that cannot be reclaimed ends the scan.
func (l *Ledger) reclaim(s *slot) bool {
	if l.now.Before(s.expires.Add(l.conf.Retention)) {
		return false
	}
	if s.record != nil {
		if !s.record.state.final() {
			return false
		}
		l.keptBytes -= s.record.keptBytes
	}
	*s = slot{}
	return true
}

func (l *Ledger) slot(sequence uint64) *slot {
	return &l.slots[sequence%uint64(len(l.slots))]
}

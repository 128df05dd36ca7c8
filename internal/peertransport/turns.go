package peertransport

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

const (
	// borrowKind and lentKind are the first bytes of datagrams that ask for a turn at an
	// upstream, and that answer.
	borrowKind = 'b'
	lentKind   = 'a'
	// borrowTimeout bounds asking one host. The farthest is a few milliseconds away, and a
	// request waits.
	borrowTimeout = 20 * time.Millisecond
)

// borrowMessage asks for a turn.
type borrowMessage struct {
	Question uint64 `json:"q"`
	Upstream uint64 `json:"u"`
	Born     int64  `json:"b,omitempty"`
}

// lentMessage answers.
type lentMessage struct {
	Question uint64 `json:"q"`
	Lent     bool   `json:"l,omitempty"`
}

// Borrow asks a host to lend its turn at an upstream. It reports whether it did. A turn whose
// message is lost, or comes too late, is not used.
func (t *Transport) Borrow(ctx context.Context, lender netip.AddrPort, server ratelimit.Server) bool {
	number, answer := t.borrowing.ask()
	defer t.borrowing.take(number)
	t.tellKind([]netip.AddrPort{lender}, borrowKind, borrowMessage{number, server.IDHash, server.StartedAt})
	late := time.NewTimer(borrowTimeout)
	defer late.Stop()
	select {
	case lent := <-answer:
		return lent
	case <-late.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// heardBorrow answers a question for a turn.
func (t *Transport) heardBorrow(text []byte, from netip.AddrPort) error {
	var m borrowMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "question for a turn")
	}
	lent := t.conf.LendTimeSlot(ratelimit.Server{IDHash: m.Upstream, StartedAt: m.Born})
	t.tellKind([]netip.AddrPort{from}, lentKind, lentMessage{m.Question, lent})
	return nil
}

// heardLent takes in the answer to a question for a turn.
func (t *Transport) heardLent(text []byte) error {
	var m lentMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "answer to a question for a turn")
	}
	if answer := t.borrowing.take(m.Question); answer != nil {
		answer <- m.Lent
	}
	return nil
}

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
	// borrowKind and lentKind are the first bytes of datagrams that request a time slot at an
	// upstream, and of the responses.
	borrowKind = 'b'
	lentKind   = 'a'
	// borrowTimeout bounds a request to one host. The farthest host is a few milliseconds away,
	// and a request waits for the response.
	borrowTimeout = 20 * time.Millisecond
)

// borrowMessage requests a time slot.
type borrowMessage struct {
	RequestID uint64 `json:"q"`
	Upstream  uint64 `json:"u"`
	Born      int64  `json:"b,omitempty"`
}

// lentMessage is the response to a borrowMessage.
type lentMessage struct {
	RequestID uint64 `json:"q"`
	Lent      bool   `json:"l,omitempty"`
}

// Borrow asks a host to lend its time slot at an upstream, and reports whether it did. A slot whose
// response is lost or late is not used.
func (t *Transport) Borrow(ctx context.Context, lender netip.AddrPort, server ratelimit.Server) bool {
	id, response := t.borrows.add()
	defer t.borrows.remove(id)
	t.sendKind([]netip.AddrPort{lender}, borrowKind, borrowMessage{id, server.IDHash, server.StartedAt})
	timer := time.NewTimer(borrowTimeout)
	defer timer.Stop()
	select {
	case lent := <-response:
		return lent
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// receiveBorrow handles a request for a time slot.
func (t *Transport) receiveBorrow(text []byte, from netip.AddrPort) error {
	var m borrowMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "time slot request")
	}
	lent := t.conf.LendTimeSlot(ratelimit.Server{IDHash: m.Upstream, StartedAt: m.Born})
	t.sendKind([]netip.AddrPort{from}, lentKind, lentMessage{m.RequestID, lent})
	return nil
}

// receiveLent handles the response to a request for a time slot.
func (t *Transport) receiveLent(text []byte) error {
	var m lentMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "time slot response")
	}
	if response := t.borrows.remove(m.RequestID); response != nil {
		response <- m.Lent
	}
	return nil
}

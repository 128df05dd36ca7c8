package peertransport

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

const (
	// borrowRetryKind and lentRetryKind are the first bytes of datagrams that request an extra
	// attempt from another host's retry budget, and of the responses.
	borrowRetryKind = 'x'
	lentRetryKind   = 'y'
	// borrowRetryTimeout bounds a request to one host. A caller waits for the response.
	borrowRetryTimeout = 20 * time.Millisecond
)

// borrowRetryMessage requests an extra attempt to a service.
type borrowRetryMessage struct {
	RequestID uint64 `json:"q"`
	Service   string `json:"s"`
}

// lentRetryMessage is the response to a borrowRetryMessage.
type lentRetryMessage struct {
	RequestID uint64 `json:"q"`
	Lent      bool   `json:"l,omitempty"`
}

// lentRetry is a response with its sender.
type lentRetry struct {
	from netip.AddrPort
	lent bool
}

// errNotAsked means that a response is from another host than the one that was asked.
var errNotAsked = errors.New("sender was not asked")

// BorrowRetry asks a host to lend an extra attempt to a service, and reports whether it did. An
// attempt whose response is lost or late is not made.
func (t *Transport) BorrowRetry(ctx context.Context, lender netip.AddrPort, service string) bool {
	id, response := t.retryBorrows.addTo(lender)
	defer t.retryBorrows.remove(id)
	start := clock.Now()
	t.sendKind([]netip.AddrPort{lender}, borrowRetryKind, borrowRetryMessage{id, service})
	timer := time.NewTimer(borrowRetryTimeout)
	defer timer.Stop()
	select {
	case r := <-response:
		return lentInTime(lender, r.from, clock.Since(start), r.lent)
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// receiveBorrowRetry handles a request for an extra attempt.
func (t *Transport) receiveBorrowRetry(text []byte, from netip.AddrPort) error {
	var m borrowRetryMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "retry request")
	}
	switch {
	case m.RequestID == 0:
		return errors.New("retry request: has no ID")
	case m.Service == "":
		return errors.New("retry request: names no service")
	}
	lent, err := t.conf.LendRetry(unmapped(from), m.Service)
	if err != nil {
		return errors.Wrap(err, "retry request")
	}
	t.sendKind([]netip.AddrPort{from}, lentRetryKind, lentRetryMessage{m.RequestID, lent})
	return nil
}

// receiveLentRetry handles the response to a request for an extra attempt.
func (t *Transport) receiveLentRetry(text []byte, from netip.AddrPort) error {
	var m lentRetryMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return errors.Wrap(err, "retry response")
	}
	response, ok := t.retryBorrows.removeFrom(m.RequestID, unmapped(from))
	if !ok {
		return errors.Wrapf(errNotAsked, "retry response from %s", from)
	}
	if response != nil {
		response <- lentRetry{unmapped(from), m.Lent}
	}
	return nil
}

// lentInTime reports whether a response lends an attempt that may be made: it is from the host
// that was asked, and arrived in time. A process that was suspended finds a response to which its
// lender's window no longer applies, before its timer ends.
func lentInTime(asked, lender netip.AddrPort, elapsed time.Duration, lent bool) bool {
	return lent && lender == asked && elapsed <= borrowRetryTimeout
}

// unmapped returns an address that a socket for IPv4 and IPv6 reports as this host knows it.
func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

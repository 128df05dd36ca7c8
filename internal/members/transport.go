package members

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

// maxQueued is the maximum number of messages queued for the control goroutine,
// so that a flood of datagrams does not starve other control work.
const maxQueued = 256

// Stats counts membership traffic, without IP and UDP headers.
type Stats struct {
	// SentBytes and ReceivedBytes count payloads.
	SentBytes, ReceivedBytes int64
	// SentMessages and ReceivedMessages count datagrams.
	SentMessages, ReceivedMessages int64
	// Refused counts datagrams that were malformed, unauthenticated, sent from
	// an address other than the one they state, or above the queue limit.
	Refused int64
	// Unsent counts messages that could not be encoded or written to the socket.
	Unsent int64
}

// transport sends and receives messages over one UDP socket.
type transport struct {
	address netip.AddrPort
	codec   *wire.Codec
	receive func(m *membership.Message, done func()) bool
	conn    *net.UDPConn
	queued  atomic.Int64

	sentBytes, receivedBytes       atomic.Int64
	sentMessages, receivedMessages atomic.Int64
	refused, unsent                atomic.Int64
}

func newTransport(a netip.AddrPort, c *wire.Codec, receive func(*membership.Message, func()) bool) *transport {
	return &transport{address: a, codec: c, receive: receive}
}

func (t *transport) bind() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	t.conn = conn
	return nil
}

func (t *transport) start() error {
	if t.conn == nil {
		if err := t.bind(); err != nil {
			return errors.Wrap(err, "membership socket")
		}
	}
	go t.read()
	return nil
}

func (t *transport) stop() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// send sends a message on the control goroutine. The protocol tolerates lost
// messages.
func (t *transport) send(s membership.Envelope) {
	if t.conn == nil {
		return
	}
	datagram, err := t.codec.Encode(s.To, s.Message)
	if err != nil {
		t.unsent.Add(1)
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(datagram, s.To); err != nil {
		t.unsent.Add(1)
		return
	}
	t.sentBytes.Add(int64(len(datagram)))
	t.sentMessages.Add(1)
}

// read receives datagrams until the socket is closed.
func (t *transport) read() {
	buffer := make([]byte, wire.MaxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.receivedBytes.Add(int64(n))
		t.receivedMessages.Add(1)
		if !t.handleDatagram(buffer[:n], from) {
			t.refused.Add(1)
		}
	}
}

// handleDatagram decodes a datagram and queues the message. It rejects a message whose
// sender address is not the source address of the datagram.
func (t *transport) handleDatagram(datagram []byte, from netip.AddrPort) bool {
	m, err := t.codec.Decode(t.address, datagram)
	if err != nil {
		return false
	}
	if m.From.Address != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
		return false
	}
	if t.queued.Add(1) > maxQueued || !t.receive(m, t.done) {
		t.done()
		return false
	}
	return true
}

func (t *transport) done() { t.queued.Add(-1) }

func (t *transport) stats() Stats {
	return Stats{
		SentBytes:        t.sentBytes.Load(),
		ReceivedBytes:    t.receivedBytes.Load(),
		SentMessages:     t.sentMessages.Load(),
		ReceivedMessages: t.receivedMessages.Load(),
		Refused:          t.refused.Load(),
		Unsent:           t.unsent.Load(),
	}
}

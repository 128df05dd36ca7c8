package members

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

// maxWaiting bounds the messages that wait for the control goroutine, so that
// a flood of datagrams does not crowd out other control work.
const maxWaiting = 256

// Stats counts membership traffic, without IP and UDP headers.
type Stats struct {
	// SentBytes and ReceivedBytes count payloads.
	SentBytes, ReceivedBytes int64
	// SentMessages and ReceivedMessages count datagrams.
	SentMessages, ReceivedMessages int64
	// Refused counts datagrams that were malformed, unauthenticated, from
	// another address than they say, or too many.
	Refused int64
	// Unsent counts messages that the socket did not take.
	Unsent int64
}

// transport moves messages over one UDP socket.
type transport struct {
	address netip.AddrPort
	codec   *wire.Codec
	receive func(m *membership.Message, done func()) bool
	conn    *net.UDPConn
	waiting atomic.Int64

	sentBytes, receivedBytes       atomic.Int64
	sentMessages, receivedMessages atomic.Int64
	refused, unsent                atomic.Int64
}

func newTransport(a netip.AddrPort, c *wire.Codec, receive func(*membership.Message, func()) bool) *transport {
	return &transport{address: a, codec: c, receive: receive}
}

func (t *transport) start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return errors.Wrap(err, "membership socket")
	}
	t.conn = conn
	go t.read()
	return nil
}

func (t *transport) stop() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// send is called on the control goroutine. What is lost is sent again by the
// protocol.
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

// read takes datagrams until the socket is closed.
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
		if !t.take(buffer[:n], from) {
			t.refused.Add(1)
		}
	}
}

// take decodes a datagram and hands it on. A host speaks only for the address
// that it sends from.
func (t *transport) take(datagram []byte, from netip.AddrPort) bool {
	m, err := t.codec.Decode(t.address, datagram)
	if err != nil {
		return false
	}
	if m.From.Address != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
		return false
	}
	if t.waiting.Add(1) > maxWaiting || !t.receive(m, t.done) {
		t.done()
		return false
	}
	return true
}

func (t *transport) done() { t.waiting.Add(-1) }

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

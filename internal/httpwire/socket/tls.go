package socket

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// TLS runs crypto/tls over a connection of the event loop, which continues to own the
// descriptor. The handshake has its own goroutine, which ends with it. Afterwards,
// received bytes are decrypted on the loop, and writes are encrypted by the goroutine
// that writes.
//
// crypto/tls preserves a partial record when a read times out, and can only resume
// reading after that error. So a read without available bytes returns
// os.ErrDeadlineExceeded.
type TLS struct {
	conn      *tls.Conn
	transport *tlsTransport
	// deliver receives decrypted bytes, which are only valid during the call.
	deliver func([]byte) error

	// readMu is held while the loop or the handshake's goroutine decrypts. It guards
	// phase.
	readMu sync.Mutex
	phase  phase
}

// phase is the phase of a TLS connection.
type phase uint8

const (
	// phaseInitial lasts until the first bytes arrive.
	phaseInitial phase = iota
	phaseHandshake
	phaseEstablished
	// phaseFailed follows a failed handshake; further bytes are delivered as they are.
	phaseFailed
)

// maxRecordPlaintext is the maximum plaintext of a TLS record, in bytes.
const maxRecordPlaintext = 16 << 10

var plaintextPool = sync.Pool{New: func() any { return new([maxRecordPlaintext]byte) }}

// NewServerTLS returns the server side of a connection. write sends ciphertext without
// blocking; deliver receives decrypted bytes.
func NewServerTLS(conf *tls.Config, remote net.Addr, write, deliver func([]byte) error) *TLS {
	transport := newTLSTransport(remote, write)
	return &TLS{conn: tls.Server(transport, conf), transport: transport, deliver: deliver}
}

// DialTLS performs a client handshake over nc, which is still a blocking connection.
// Attach then moves it to the event loop.
func DialTLS(ctx context.Context, nc net.Conn, conf *tls.Config) (*TLS, error) {
	transport := newTLSTransport(nc.RemoteAddr(), nil)
	transport.blocking = nc
	t := &TLS{conn: tls.Client(transport, conf), transport: transport}
	if err := t.conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Attach moves the connection to the event loop after DialTLS: ciphertext is sent by
// write, and Feed passes decrypted bytes to deliver. Bytes that followed the handshake
// are delivered at once.
func (t *TLS) Attach(write, deliver func([]byte) error) error {
	t.readMu.Lock()
	defer t.readMu.Unlock()
	t.transport.endBlockingPhase(write)
	t.deliver = deliver
	t.phase = phaseEstablished
	return t.decrypt()
}

// Feed handles received ciphertext, which is only valid during the call. Only one
// goroutine may call it. onHandshake is called on another goroutine when the handshake
// ends, and returns whether the connection stays open. It is called again if the bytes
// that follow the handshake end the connection.
func (t *TLS) Feed(data []byte, onHandshake func(error) bool) error {
	if err := t.transport.push(data); err != nil {
		return err
	}
	t.readMu.Lock()
	defer t.readMu.Unlock()
	switch t.phase {
	case phaseInitial:
		t.phase = phaseHandshake
		go t.handshake(onHandshake)
		return nil
	case phaseHandshake:
		return nil
	case phaseFailed:
		return t.deliver(t.transport.drain())
	default:
		return t.decrypt()
	}
}

// handshake performs a server handshake. It runs on its own goroutine.
func (t *TLS) handshake(onHandshake func(error) bool) {
	err := t.conn.Handshake()
	t.readMu.Lock()
	defer t.readMu.Unlock()
	if !onHandshake(err) {
		t.phase = phaseFailed
		t.transport.setNonBlocking()
		_ = t.transport.drain()
		return
	}
	t.phase = phaseEstablished
	t.transport.setNonBlocking()
	if err := t.decrypt(); err != nil {
		t.transport.fail(err)
		onHandshake(err)
	}
}

// decrypt decrypts and delivers the received bytes until none are left.
func (t *TLS) decrypt() error {
	buf := plaintextPool.Get().(*[maxRecordPlaintext]byte)
	defer plaintextPool.Put(buf)
	for {
		n, err := t.conn.Read(buf[:])
		if n > 0 {
			if err := t.deliver(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Write encrypts b and sends it without blocking.
func (t *TLS) Write(b []byte) error {
	_, err := t.conn.Write(b)
	return err
}

// CloseWrite sends a close_notify alert: nothing more follows.
func (t *TLS) CloseWrite() { _ = t.conn.CloseWrite() }

// ConnClosed must be called when the connection has ended; a handshake in progress fails.
func (t *TLS) ConnClosed() { t.transport.fail(net.ErrClosed) }

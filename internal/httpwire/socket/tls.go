package socket

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// TLS runs Go's crypto/tls over a connection of the event loop. The loop keeps
// the descriptor; a goroutine lives only as long as the handshake. Afterwards
// the loop decrypts what arrives and writes are encrypted by whoever writes.
//
// crypto/tls keeps a partial record over a read that timed out, and only such
// a read is resumed here: a read without bytes ends with os.ErrDeadlineExceeded.
type TLS struct {
	conn *tls.Conn
	pipe *pipe
	// deliver takes decrypted bytes, which are only valid during the call.
	deliver func([]byte) error

	// drive is held while the loop or the end of the handshake reads; phase is
	// guarded by it.
	drive sync.Mutex
	phase phase
}

// phase is how far a TLS connection is.
type phase uint8

const (
	// waiting has received nothing.
	waiting phase = iota
	// shaking is in its handshake.
	shaking
	// established carries records.
	established
	// failed has no session; what arrives is delivered as it is.
	failed
)

// plainBytes is the most that one record holds, in bytes.
const plainBytes = 16 << 10

var plainPool = sync.Pool{New: func() any { return new([plainBytes]byte) }}

// NewServerTLS returns the server side of a connection. Write sends ciphertext
// without blocking; deliver takes decrypted bytes.
func NewServerTLS(conf *tls.Config, remote net.Addr, write, deliver func([]byte) error) *TLS {
	p := newPipe(remote, write)
	return &TLS{conn: tls.Server(p, conf), pipe: p, deliver: deliver}
}

// DialTLS makes the handshake as a client over nc, which is still a blocking
// connection. Attach moves it to the event loop.
func DialTLS(ctx context.Context, nc net.Conn, conf *tls.Config) (*TLS, error) {
	p := newPipe(nc.RemoteAddr(), nil)
	p.blocking = nc
	t := &TLS{conn: tls.Client(p, conf), pipe: p}
	if err := t.conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Attach goes on over the event loop after DialTLS: ciphertext is sent by
// write, and Feed delivers. Bytes that came behind the handshake are delivered
// at once.
func (t *TLS) Attach(write, deliver func([]byte) error) error {
	t.drive.Lock()
	defer t.drive.Unlock()
	t.pipe.attach(write)
	t.deliver = deliver
	t.phase = established
	return t.pump()
}

// Feed takes ciphertext that arrived; it is only valid during the call. One
// goroutine may call it. Shaken is told the end of the handshake, on another
// goroutine, and returns whether the connection goes on. It is told once more
// if the bytes behind the handshake end the connection.
func (t *TLS) Feed(data []byte, shaken func(error) bool) error {
	if err := t.pipe.put(data); err != nil {
		return err
	}
	t.drive.Lock()
	defer t.drive.Unlock()
	switch t.phase {
	case waiting:
		t.phase = shaking
		go t.handshake(shaken)
		return nil
	case shaking:
		return nil
	case failed:
		return t.deliver(t.pipe.drain())
	default:
		return t.pump()
	}
}

// handshake runs on a goroutine of its own and ends with the handshake.
func (t *TLS) handshake(shaken func(error) bool) {
	err := t.conn.Handshake()
	t.drive.Lock()
	defer t.drive.Unlock()
	if !shaken(err) {
		t.phase = failed
		t.pipe.noWait()
		_ = t.pipe.drain()
		return
	}
	t.phase = established
	t.pipe.noWait()
	if err := t.pump(); err != nil {
		t.pipe.fail(err)
		shaken(err)
	}
}

// pump decrypts and delivers until the bytes that arrived are used up.
func (t *TLS) pump() error {
	buf := plainPool.Get().(*[plainBytes]byte)
	defer plainPool.Put(buf)
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

// CloseWrite tells the other side that nothing follows.
func (t *TLS) CloseWrite() { _ = t.conn.CloseWrite() }

// Ended says that the connection has ended; a handshake then fails.
func (t *TLS) Ended() { t.pipe.fail(net.ErrClosed) }

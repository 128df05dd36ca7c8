package socket

import (
	"net"
	"os"
	"sync"
	"time"
)

// maxHandshakeBuffer bounds the ciphertext that is buffered during a handshake, in bytes.
// Above it, push blocks the event loop; it does so only briefly, since a handshake that
// has bytes to read only computes.
const maxHandshakeBuffer = 256 << 10

// tlsTransport is the net.Conn that crypto/tls runs on. During a handshake, Read blocks;
// afterwards, Read without available bytes returns os.ErrDeadlineExceeded, after which
// crypto/tls can resume reading.
type tlsTransport struct {
	remote net.Addr
	write  func([]byte) error
	// blocking is the connection of a client during its handshake; nil otherwise.
	blocking net.Conn

	mu         sync.Mutex
	changed    sync.Cond
	received   []byte
	blockReads bool
	err        error
}

func newTLSTransport(remote net.Addr, write func([]byte) error) *tlsTransport {
	t := &tlsTransport{remote: remote, write: write, blockReads: true}
	t.changed.L = &t.mu
	return t
}

// push adds received ciphertext. If reads do not block and nothing is buffered, it
// retains data without copying it.
func (t *tlsTransport) push(data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.blockReads && t.err == nil && len(t.received) > maxHandshakeBuffer {
		t.changed.Wait()
	}
	if t.err != nil {
		return t.err
	}
	if len(t.received) == 0 && !t.blockReads {
		// Safe without a copy: Feed, the only caller, reads it all before it returns.
		t.received = data
		return nil
	}
	t.received = append(t.received, data...)
	t.changed.Broadcast()
	return nil
}

// Read implements net.Conn.
func (t *tlsTransport) Read(b []byte) (int, error) {
	if t.blocking != nil {
		return t.blocking.Read(b)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.received) == 0 {
		switch {
		case t.err != nil:
			return 0, t.err
		case !t.blockReads:
			t.received = nil
			return 0, os.ErrDeadlineExceeded
		}
		t.changed.Wait()
	}
	n := copy(b, t.received)
	t.received = t.received[n:]
	t.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn; it does not block once the connection is on the event loop.
func (t *tlsTransport) Write(b []byte) (int, error) {
	if t.blocking != nil {
		return t.blocking.Write(b)
	}
	if err := t.write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn; it is only called when a client's handshake is cancelled.
func (t *tlsTransport) Close() error {
	if t.blocking != nil {
		return t.blocking.Close()
	}
	t.fail(net.ErrClosed)
	return nil
}

// endBlockingPhase moves a client's connection to the event loop after its handshake.
func (t *tlsTransport) endBlockingPhase(write func([]byte) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocking = nil
	t.write = write
	t.blockReads = false
}

// setNonBlocking makes Read return os.ErrDeadlineExceeded when no bytes are available.
func (t *tlsTransport) setNonBlocking() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blockReads = false
	t.changed.Broadcast()
}

// drain removes and returns the bytes that have not been read.
func (t *tlsTransport) drain() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	unread := t.received
	t.received = nil
	t.changed.Broadcast()
	return unread
}

// fail makes every Read and push return err, after the buffered bytes have been read.
func (t *tlsTransport) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
	t.changed.Broadcast()
}

// LocalAddr implements net.Conn.
func (t *tlsTransport) LocalAddr() net.Addr { return t.remote }

// RemoteAddr implements net.Conn.
func (t *tlsTransport) RemoteAddr() net.Addr { return t.remote }

// SetDeadline implements net.Conn; it does nothing, since the connection's owner has
// its own timers.
func (t *tlsTransport) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (t *tlsTransport) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (t *tlsTransport) SetWriteDeadline(time.Time) error { return nil }

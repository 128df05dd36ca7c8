package socket

import (
	"net"
	"os"
	"sync"
	"time"
)

// maxAhead bounds the ciphertext that waits for the handshake, in bytes. The
// loop waits beyond it: the handshake only computes while bytes are there.
const maxAhead = 256 << 10

// pipe is the connection that crypto/tls sees. During a handshake its reads
// wait; afterwards a read without bytes ends like one whose deadline passed,
// which crypto/tls resumes.
type pipe struct {
	remote net.Addr
	write  func([]byte) error
	// blocking carries the handshake of a client; nil otherwise.
	blocking net.Conn

	mu    sync.Mutex
	moved sync.Cond
	in    []byte
	waits bool
	err   error
}

func newPipe(remote net.Addr, write func([]byte) error) *pipe {
	p := &pipe{remote: remote, write: write, waits: true}
	p.moved.L = &p.mu
	return p
}

// put adds bytes that arrived.
func (p *pipe) put(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.waits && p.err == nil && len(p.in) > maxAhead {
		p.moved.Wait()
	}
	if p.err != nil {
		return p.err
	}
	if len(p.in) == 0 && !p.waits {
		// Read before the caller returns: whoever puts holds the only reader.
		p.in = data
		return nil
	}
	p.in = append(p.in, data...)
	p.moved.Broadcast()
	return nil
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) {
	if p.blocking != nil {
		return p.blocking.Read(b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.err != nil:
			return 0, p.err
		case !p.waits:
			p.in = nil
			return 0, os.ErrDeadlineExceeded
		}
		p.moved.Wait()
	}
	n := copy(b, p.in)
	p.in = p.in[n:]
	p.moved.Broadcast()
	return n, nil
}

// Write implements net.Conn; it does not block on the event loop.
func (p *pipe) Write(b []byte) (int, error) {
	if p.blocking != nil {
		return p.blocking.Write(b)
	}
	if err := p.write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn; only a client's handshake that is given up calls it.
func (p *pipe) Close() error {
	if p.blocking != nil {
		return p.blocking.Close()
	}
	p.fail(net.ErrClosed)
	return nil
}

// attach ends the blocking phase of a client.
func (p *pipe) attach(write func([]byte) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocking = nil
	p.write = write
	p.waits = false
}

// noWait makes reads end when there are no bytes.
func (p *pipe) noWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits = false
	p.moved.Broadcast()
}

// drain returns the bytes that were not read.
func (p *pipe) drain() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.in
	p.in = nil
	p.moved.Broadcast()
	return in
}

// fail ends every read and put.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.moved.Broadcast()
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return p.remote }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return p.remote }

// SetDeadline implements net.Conn; the connection's owner has the timers.
func (p *pipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

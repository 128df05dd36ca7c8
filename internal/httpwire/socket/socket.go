// Package socket holds operations on connections of the nbio event loop that never
// close a file descriptor outside the loop, and TLS on such connections.
//
// The loop handles events in batches, by descriptor. If another goroutine closes a
// descriptor while its event waits in a batch, and a new connection gets the same
// number, the loop closes the new connection; the library then loses track of it and
// spins on its events. So connections are only shut down here: the loop detects the
// shutdown and closes the descriptor itself.
package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// WriteObserver counts the bytes that the kernel has accepted. BytesWritten is called with the
// connection's lock held, before any byte of a response to them can be read.
type WriteObserver interface {
	BytesWritten(n int)
}

// OnWritten reports bytes written by the library to the session. Register it with
// nbio.Engine.OnWrittenSize.
func OnWritten(nc *nbio.Conn, _ []byte, n int) {
	if c, ok := nc.Session().(WriteObserver); ok {
		c.BytesWritten(n)
	}
}

// SetSession makes session receive the connection's bytes. Taking the lock ensures that
// the loop's first call sees everything that was set in session before.
func SetSession(nc *nbio.Conn, session WriteObserver) {
	nc.Lock()
	defer nc.Unlock()
	nc.SetSession(session)
}

// Write sends b, and queues what the kernel does not accept at once for the loop to
// send. Only one goroutine may write at a time. queued must be true if the loop still
// holds bytes from earlier calls.
func Write(nc *nbio.Conn, b []byte, queued bool, counter WriteObserver) error {
	if !queued {
		n, err := writeNow(nc, b, counter)
		if err != nil || n == len(b) {
			return err
		}
		b = b[n:]
	}
	_, err := nc.Write(b)
	return err
}

func writeNow(nc *nbio.Conn, b []byte, counter WriteObserver) (int, error) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return 0, net.ErrClosed
	}
	n, err := syscall.Write(nc.Hash(), b)
	if n > 0 {
		counter.BytesWritten(n)
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return n, err
}

// Shutdown shuts down the connection in both directions. No byte is sent afterwards.
func Shutdown(nc *nbio.Conn) { shutdown(nc, syscall.SHUT_RDWR) }

// Reset shuts down the connection in both directions, and makes the loop's close a reset. What the
// other side has not acknowledged is dropped: behind a cut, the system would send it when the cut
// heals.
func Reset(nc *nbio.Conn) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return
	}
	_ = syscall.SetsockoptLinger(nc.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	_ = syscall.Shutdown(nc.Hash(), syscall.SHUT_RDWR)
}

// ShutdownWrite shuts down the sending side; bytes can still be received.
func ShutdownWrite(nc *nbio.Conn) { shutdown(nc, syscall.SHUT_WR) }

func shutdown(nc *nbio.Conn, how int) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); !closed {
		_ = syscall.Shutdown(nc.Hash(), how)
	}
}

// NoUnreadData reports whether the connection is open and the kernel holds neither bytes nor
// an end of file from the peer that the loop has not read yet.
func NoUnreadData(nc *nbio.Conn) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return false
	}
	var one [1]byte
	_, _, err := syscall.Recvfrom(nc.Hash(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

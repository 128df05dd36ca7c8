// Package socket holds the operations on a connection of the event loop that
// must not close its file descriptor outside the loop.
//
// The loop handles events in batches, by descriptor. If another goroutine
// closes a descriptor while its event waits in a batch, and a new connection
// gets the same number, the loop ends the new one; the library then loses
// that connection and spins on its events. So every end here is a shutdown:
// the loop sees it and closes the descriptor itself.
package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// Counter is told how many bytes the kernel took. Taken is called under the
// connection's lock, before any byte that answers them can be read.
type Counter interface {
	Taken(n int)
}

// OnWritten passes the library's count of written bytes on to the session. It
// is registered with nbio.Engine.OnWrittenSize.
func OnWritten(nc *nbio.Conn, _ []byte, n int) {
	if c, ok := nc.Session().(Counter); ok {
		c.Taken(n)
	}
}

// SetSession makes session receive the connection's bytes. The lock orders
// what was set in it before the loop's first call.
func SetSession(nc *nbio.Conn, session Counter) {
	nc.Lock()
	defer nc.Unlock()
	nc.SetSession(session)
}

// Write sends b, and leaves what the kernel does not take now to the loop.
// One goroutine may write at a time. Queued is true when the loop still holds
// bytes from earlier calls.
func Write(nc *nbio.Conn, b []byte, queued bool, counter Counter) error {
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

func writeNow(nc *nbio.Conn, b []byte, counter Counter) (int, error) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return 0, net.ErrClosed
	}
	n, err := syscall.Write(nc.Hash(), b)
	if n > 0 {
		counter.Taken(n)
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return n, err
}

// End ends the connection both ways. No byte is sent afterwards.
func End(nc *nbio.Conn) { shutdown(nc, syscall.SHUT_RDWR) }

// ShutdownWrite ends our side of the connection; bytes can still be received.
func ShutdownWrite(nc *nbio.Conn) { shutdown(nc, syscall.SHUT_WR) }

func shutdown(nc *nbio.Conn, how int) {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); !closed {
		_ = syscall.Shutdown(nc.Hash(), how)
	}
}

// Quiet reports whether the connection is open and the kernel holds neither a
// byte nor an end from the other side that the loop has not read yet.
func Quiet(nc *nbio.Conn) bool {
	nc.Lock()
	defer nc.Unlock()
	if closed, _ := nc.IsClosed(); closed {
		return false
	}
	var one [1]byte
	_, _, err := syscall.Recvfrom(nc.Hash(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

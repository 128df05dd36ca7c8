package socket

import (
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// Ender is a session that wants to know whether its connection ended in order.
// The loop alone does not say: it reports "end of file" for a reset too, when
// that comes together with the last bytes or before anything was read.
type Ender interface {
	// ReadsOn reports whether more must be read after a short read, to learn of
	// an end that has already arrived.
	ReadsOn() bool
	// EndOfFile is called on the loop when the other side has ended in order.
	EndOfFile()
}

// readBytes is the size of one read.
const readBytes = 64 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// OnRead reads what has arrived and tells an Ender of an end in order. It takes
// the place of the loop's own reading: register it with nbio.Engine.OnRead.
func OnRead(nc *nbio.Conn) {
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	for {
		n, err := nc.Read(buf[:])
		if n > 0 {
			nc.DataHandler()(nc, buf[:n])
		}
		session, _ := nc.Session().(Ender)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = nc.CloseWithError(err) // a connection that is closed already
			return
		case n == 0:
			if session != nil {
				session.EndOfFile()
			}
			return // the loop closes it
		case n < readBytes && (session == nil || !session.ReadsOn()):
			return
		}
	}
}

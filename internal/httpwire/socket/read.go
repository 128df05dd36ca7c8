package socket

import (
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// EOFHandler is a session that needs to know whether the peer closed its connection in an
// orderly way. The event loop does not distinguish this: it also reports "end of file" for
// a reset that arrives together with the last bytes or before anything was read.
type EOFHandler interface {
	// ReadUntilEOF reports whether to read again after a short read, to detect an end of
	// file that has already arrived.
	ReadUntilEOF() bool
	// EndOfFile is called on the event loop when the peer has closed the connection in
	// an orderly way.
	EndOfFile()
}

// readBufferSize is the maximum size of one read, in bytes.
const readBufferSize = 64 << 10

var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// OnRead reads what has arrived and notifies an EOFHandler of an orderly end. It replaces
// the event loop's own reading: register it with nbio.Engine.OnRead.
func OnRead(nc *nbio.Conn) {
	buf := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buf)
	for {
		n, err := nc.Read(buf[:])
		if n > 0 {
			nc.DataHandler()(nc, buf[:n])
		}
		session, _ := nc.Session().(EOFHandler)
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
		case n < readBufferSize && (session == nil || !session.ReadUntilEOF()):
			return
		}
	}
}

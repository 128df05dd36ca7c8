package httpwire

import (
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, for instance because too
// many files are open.
const acceptRetryDelay = 50 * time.Millisecond

// listener is a net.Listener that can stop accepting before the engine stops.
// The engine's accept loop spins on errors until the engine itself stops, so
// Accept blocks between stop and Close.
type listener struct {
	net.Listener
	stopped   chan struct{}
	closed    chan struct{}
	stopOnce  sync.Once
	closeOnce sync.Once
}

func newListener(ln net.Listener) *listener {
	return &listener{Listener: ln, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		select {
		case <-l.stopped:
			<-l.closed
			return nil, err
		case <-l.closed:
			return nil, err
		case <-time.After(acceptRetryDelay):
		}
	}
}

// stop closes the socket; Accept then blocks until Close.
func (l *listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.Listener.Close()
	})
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.stop()
	return nil
}

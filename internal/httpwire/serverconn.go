package httpwire

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
)

// connState is the state of a caller connection.
type connState uint8

const (
	// connIdle is waiting for the first byte of a request.
	connIdle connState = iota
	// connHead has received part of a request head.
	connHead
	// connBody has received a head and is waiting for the rest of the body.
	connBody
	// connServing has requests in flight.
	connServing
	// connClosing has sent the last response and discards what still arrives.
	connClosing
	// connClosed has ended.
	connClosed
	// connHandshake is in the TLS handshake.
	connHandshake
)

// serverConn is a caller connection. It implements nbhttp.ParserCloser, so that
// the event loop passes it the received bytes, and it holds the library's parser.
//
// The library's functions are excluded from the race detector, so it can't be
// relied on for what they share with this type. All fields are guarded by mu,
// except those that are atomic or set once.
type serverConn struct {
	server *Server
	conn   *nbio.Conn
	tls    *socket.TLS // nil without TLS
	parser *nbhttp.Parser
	remote string
	ctx    context.Context
	cancel context.CancelFunc

	// unwritten counts the response bytes that the kernel has not accepted yet.
	unwritten atomic.Int64
	// drained is signalled when unwritten reaches zero.
	drained chan struct{}

	mu            sync.Mutex
	state         connState
	handshakeDone bool
	scanner       framing.Scanner
	// buf holds the message that is being received.
	buf []byte
	// buffered is how much of buf, pipelined and pending counts towards the server's memory limit.
	buffered int
	// pipelined holds the bytes received after the requests in flight.
	pipelined []byte
	// overflow is true if more was pipelined than pipelineLimit or the memory limit allows.
	overflow bool
	// responding is true while a response is being written. The decision whether
	// the connection stays open has then been made.
	responding bool
	// inFlight counts the requests being served; lastRequest is the newest of them,
	// or nil.
	inFlight    int
	lastRequest *Request
	// pending is a parsed request that waits until nothing is in flight.
	pending *Request
	// noMoreRequests is true once no further request will be started.
	noMoreRequests bool
	// pipelineInvalid is true while the pipelined bytes are not a valid request.
	pipelineInvalid bool
	// discarded counts the bytes that were discarded while closing.
	discarded int
	timer     lazyTimer
	// builder collects the request that is being parsed.
	builder requestBuilder
}

func newServerConn(s *Server, nc *nbio.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{
		server:  s,
		conn:    nc,
		remote:  nc.RemoteAddr().String(),
		ctx:     ctx,
		cancel:  cancel,
		drained: make(chan struct{}, 1),
	}
	c.parser = nbhttp.NewParser(nc, s.engine.Engine, &c.builder, false, nil)
	c.scanner.ResetRequest(s.limits.Load().framing())
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.conf.TLS != nil {
		c.startHandshake()
		return c
	}
	c.awaitRequest()
	return c
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *serverConn) UnderlayerConn() net.Conn { return c.conn }

// Parse implements nbhttp.ParserCloser; the event loop calls it with the received
// bytes, which are only valid during the call.
func (c *serverConn) Parse(data []byte) error {
	if c.tls != nil {
		return c.tls.Feed(data, c.onHandshake)
	}
	return c.onPlaintext(data)
}

// onPlaintext handles received bytes after decryption, if the connection uses TLS.
func (c *serverConn) onPlaintext(data []byte) error {
	started, err := c.onData(data)
	if started {
		// The event loop enters a system call next and would block the processor on
		// whose run queue the request is; yield so that the request runs first.
		runtime.Gosched()
	}
	return err
}

// onData handles received bytes. It reports whether it started a request.
func (c *serverConn) onData(data []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case connServing:
		c.bufferPipelined(data)
		return c.startPipelined(), nil
	case connClosing:
		return false, c.discard(len(data))
	case connClosed:
		return false, net.ErrClosed
	default:
		c.receive(data, false)
		return c.state == connServing, nil
	}
}

// CloseAndClean implements nbhttp.ParserCloser; it is called once, when the
// connection has ended. It does not wait for requests in flight.
func (c *serverConn) CloseAndClean(err error) {
	c.cancel()
	if c.tls != nil {
		c.tls.ConnClosed()
	}
	c.server.removeConn(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = connClosed
	c.timer.stop()
	c.buf = nil
	c.pipelined = nil
	c.pending = nil
	c.updateBuffered()
	c.parser.CloseAndClean(err)
}

// bufferPipelined buffers bytes received after the requests in flight. After an
// overflow, further bytes are dropped.
func (c *serverConn) bufferPipelined(data []byte) {
	if c.overflow {
		return
	}
	c.pipelined = append(c.pipelined, data...)
	c.updateBuffered()
	n := len(c.pipelined)
	c.overflow = n > c.pipelineLimit() || n > maxPipelinedBytes && c.server.memoryExceeded()
}

// pipelineLimit is how much bufferPipelined accepts, in bytes. A caller may have read
// the complete response, and have sent its next request, before onResponseWritten is
// called. As the response left the connection open, a complete request must fit:
// without that, 11 of 384 runs of three consecutive 8 MB bodies under other load were
// cut off without a response.
func (c *serverConn) pipelineLimit() int {
	if !c.responding {
		return maxPipelinedBytes
	}
	return c.server.limits.Load().framing().MaxMessageBytes() + maxPipelinedBytes
}

// awaitRequest starts the idle timeout.
func (c *serverConn) awaitRequest() {
	c.timer.set(clock.Now(), c.server.limits.Load().IdleTimeout, c.onTimer)
}

// closeIfIdle closes the connection if no request is being received or served on it
// and the kernel holds no unread bytes. It reports whether the connection is closing
// or closed.
func (c *serverConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connHandshake || c.state == connIdle && socket.NoUnreadData(c.conn) {
		c.linger()
	}
	return c.state == connClosing || c.state == connClosed
}

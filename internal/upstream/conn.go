package upstream

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

type result struct {
	resp *httpwire.Response
	// reusable is true when the connection may carry another request.
	reusable bool
	err      error
}

// conn is one connection with at most one request in flight. It implements
// nbhttp.ParserCloser, so that the event loop hands it the bytes, and holds
// the library's parser.
//
// The library's functions are excluded from the race detector; all state here
// is guarded by mu, except what is atomic, set once, or the pool's.
type conn struct {
	pool   *pool
	nbc    *nbio.Conn
	tls    *socket.TLS // nil without TLS
	parser *nbhttp.Parser
	limits framing.Limits
	result chan result

	// reused and idleSince belong to the goroutine that holds the connection,
	// or to the pool while it is idle.
	reused    bool
	idleSince time.Time
	// idleFor is how long the upstream keeps it idle; 0 if it does not say. It is
	// set before the answer is handed over.
	idleFor time.Duration

	// queued counts the bytes that were written for the request.
	queued atomic.Int64
	// sent counts those that the kernel has taken. With TLS both count encrypted
	// bytes, which are never fewer than the request's.
	sent atomic.Int64

	mu      sync.Mutex
	busy    bool
	closed  bool
	interim int
	// request is the one in flight, and late whether an answer to an earlier one
	// came before its own.
	request *httpwire.Request
	late    bool
	scanner framing.Scanner
	buf     []byte
	// gathering is the answer that the parser is calling back for.
	gathering gathering
}

var (
	errClosed     = errors.New("connection closed before the answer was whole")
	errLateBytes  = errors.New("bytes before the request was sent")
	errTooInterim = errors.New("too many interim answers")
)

func newConn(c *Client, p *pool, nbc *nbio.Conn) *conn {
	cn := &conn{
		pool:   p,
		nbc:    nbc,
		result: make(chan result, 1),
		limits: framing.Limits{HeadBytes: c.conf.MaxHeadBytes, BodyBytes: c.conf.MaxResponseBytes},
	}
	cn.parser = nbhttp.NewParser(nbc, c.engine.Engine, &cn.gathering, true, nil)
	return cn
}

// roundTrip sends one request and waits for its answer. Afterwards the
// connection is back in the pool or closed and released.
func (c *conn) roundTrip(ctx context.Context, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	if !c.begin(req) {
		return nil, c.fail(ctx, 1, errClosed)
	}
	head, err := httpwire.WriteRequest(c, req)
	if err != nil {
		return nil, c.fail(ctx, head, err)
	}
	var r result
	select {
	case r = <-c.result:
	case <-ctx.Done():
		return nil, c.fail(ctx, head, ctx.Err())
	}
	if r.err != nil {
		return nil, c.fail(ctx, head, r.err)
	}
	// An answer that came before the whole request was sent is passed on, but
	// what is left of the request must not follow on this connection.
	whole := c.sent.Load() == c.queued.Load()
	c.giveBack(r.reusable && whole)
	return r.resp, nil
}

func (c *conn) begin(req *httpwire.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.Store(0)
	c.queued.Store(0)
	if c.closed {
		return false
	}
	c.busy = true
	c.interim = 0
	c.request = req
	c.late = false
	c.scanner.ResetResponse(req.Method, c.limits)
	return true
}

func (c *conn) giveBack(reusable bool) {
	if reusable {
		c.pool.put(c)
		return
	}
	c.close()
	c.pool.release()
}

// fail closes the connection and then classifies: only after the close is it
// certain that no queued byte goes out any more. An upstream may act on the
// head alone, so "not run" needs a head that was not wholly taken.
func (c *conn) fail(ctx context.Context, head int, cause error) *errkind.Error {
	c.close()
	c.pool.release()
	incomplete := c.sent.Load() < int64(head)
	kind := errkind.UpstreamBroken
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = errkind.CallerGone
	case ctx.Err() != nil && incomplete:
		kind = errkind.DeadlineBeforeSend
	case ctx.Err() != nil:
		kind = errkind.DeadlineAfterSend
	case incomplete:
		kind = errkind.SendFailed
	}
	return errkind.Wrap(kind, cause, c.pool.address)
}

// Write implements io.Writer for the request.
func (c *conn) Write(b []byte) (int, error) {
	if c.tls != nil {
		return len(b), c.tls.Write(b)
	}
	return len(b), c.writeRaw(b)
}

// writeRaw sends or queues what goes over the wire.
func (c *conn) writeRaw(b []byte) error {
	queued := c.sent.Load() != c.queued.Load()
	c.queued.Add(int64(len(b)))
	return socket.Write(c.nbc, b, queued, c)
}

// Taken implements socket.Counter.
func (c *conn) Taken(n int) { c.sent.Add(int64(n)) }

// close ends the connection; the event loop then calls CloseAndClean.
func (c *conn) close() { socket.End(c.nbc) }

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *conn) UnderlayerConn() net.Conn { return c.nbc }

// Parse implements nbhttp.ParserCloser; the event loop calls it with the bytes
// that arrived, which are only valid during the call. An error closes the
// connection.
func (c *conn) Parse(data []byte) error {
	if c.tls != nil {
		return c.tls.Feed(data, nil)
	}
	return c.plain(data)
}

// plain takes the upstream's bytes, decrypted if there is TLS.
func (c *conn) plain(data []byte) error {
	answered, err := c.take(data)
	if answered {
		// The loop goes into a system call next and would hold the processor on
		// which the waiting request was queued; let it run first.
		runtime.Gosched()
	}
	return err
}

// take handles the bytes that arrived. It reports whether they completed the
// answer.
func (c *conn) take(data []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, net.ErrClosed
	}
	if !c.busy || c.sent.Load() == 0 {
		return false, c.end(errLateBytes)
	}
	if err := c.receive(data); err != nil {
		return false, c.end(err)
	}
	return !c.busy, nil
}

// CloseAndClean implements nbhttp.ParserCloser; it is called once, when the
// connection has ended.
func (c *conn) CloseAndClean(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = c.end(errors.CombineErrors(errClosed, err))
	}
	c.parser.CloseAndClean(err)
}

// end fails the request in flight, if any, and returns err.
func (c *conn) end(err error) error {
	c.closed = true
	c.buf = nil
	c.finish(result{err: err})
	return err
}

// finish hands r to the request in flight.
func (c *conn) finish(r result) {
	if !c.busy {
		return
	}
	c.busy = false
	c.request = nil
	c.result <- r
}

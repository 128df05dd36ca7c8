package upstream

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

type result struct {
	resp *httpwire.Response
	// reusable is true if the connection may be used for another request.
	reusable bool
	err      error
}

// conn is one connection with at most one request in flight. It implements
// nbhttp.ParserCloser, so that the event loop passes it the received data, and owns
// the library's parser.
//
// The library's functions are excluded from the race detector. All state here is
// guarded by mu, except for fields that are atomic, set once, or owned by the pool.
type conn struct {
	client *Client
	pool   *pool
	nbc    *nbio.Conn
	tls    *socket.TLS // nil without TLS
	via    *relay.Conn // nil over this host's own links
	opened time.Time
	parser *nbhttp.Parser
	result chan result

	// reused and idleSince are owned by the goroutine that holds the connection, or by
	// the pool while it is idle.
	reused    bool
	idleSince time.Time
	// idleFor is the Keep-Alive timeout that the upstream announced; 0 if none. It is set
	// before the response is delivered.
	idleFor time.Duration
	// queriesOnly is set, before the response is delivered, after an unnamed refusal.
	queriesOnly bool
	// unnamed is the number of responses since the last one that named its request. With two of them,
	// the second may be a copy of the first, and its own is still to come.
	unnamed int

	// queued counts the bytes that were written or buffered for the request.
	queued atomic.Int64
	// sent counts those that the kernel has accepted. With TLS both count encrypted
	// bytes, which are never fewer than those of the request.
	sent atomic.Int64

	mu      sync.Mutex
	busy    bool
	closed  bool
	interim int
	// dropped counts the bytes of interim and late responses to the current request.
	dropped int
	// accounted is set while buf counts towards the client's bound for incomplete responses.
	accounted bool
	// request is the one in flight. late is set if a response to an earlier request
	// arrived before its own.
	request *httpwire.Request
	late    bool
	// early is set if the current response began to arrive before any byte of the request was sent.
	early   bool
	scanner framing.Scanner
	limits  framing.Limits // of the response to request
	buf     []byte
	// builder collects the response that is being parsed.
	builder responseBuilder
}

var (
	errClosed         = errors.New("connection closed before the answer was whole")
	errUnexpectedData = errors.New("bytes before the request was sent")
	errTooManyInterim = errors.New("too many interim answers")
)

func newConn(c *Client, p *pool, nbc *nbio.Conn) *conn {
	cn := &conn{
		client: c,
		pool:   p,
		opened: clock.Now(),
		nbc:    nbc,
		result: make(chan result, 1),
	}
	cn.parser = nbhttp.NewParser(nbc, c.engine.Engine, &cn.builder, true, nil)
	return cn
}

// roundTrip sends one request and waits for its response. Afterwards the connection has
// been returned to the pool, or closed and released.
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
		r.err = ctx.Err()
	}
	c.client.recordExchange(ctx, c, r.err)
	if r.err != nil {
		return nil, c.fail(ctx, head, r.err)
	}
	// A response that arrived before the complete request was sent is passed on, but the
	// connection is not reused: the rest of the request must not be sent on it.
	complete := c.sent.Load() == c.queued.Load()
	c.returnToPool(r.reusable && complete)
	r.resp.Via = c.viaName()
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
	c.dropped = 0
	c.request = req
	c.late = false
	c.early = false
	c.limits = c.client.responseLimits(req)
	c.scanner.ResetResponse(req.Method, c.limits)
	return true
}

// responseLimits returns the limits of the response to req.
func (c *Client) responseLimits(req *httpwire.Request) framing.Limits {
	limits := framing.Limits{HeadBytes: c.conf.MaxHeadBytes, BodyBytes: c.conf.MaxResponseBytes}
	if req.LoadQuery {
		limits.BodyBytes = min(limits.BodyBytes, maxQueryBody)
	}
	return limits
}

func (c *conn) returnToPool(reusable bool) {
	if reusable {
		c.pool.put(c)
		return
	}
	c.close()
	c.pool.release()
}

// fail closes the connection and then classifies the failure: only after the close is it
// certain that no buffered byte is sent any more. An upstream may act on the head alone, so
// the outcome is "not run" only if the kernel did not accept the complete head.
func (c *conn) fail(ctx context.Context, head int, cause error) *errkind.Error {
	socket.Reset(c.nbc)
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
	if c.via != nil {
		return errkind.Wrap(kind, cause, c.pool.address+" through "+c.via.Name())
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

// writeRaw sends or buffers b, which is encrypted if TLS is used.
func (c *conn) writeRaw(b []byte) error {
	queued := c.sent.Load() != c.queued.Load()
	c.queued.Add(int64(len(b)))
	return socket.Write(c.nbc, b, queued, c)
}

// BytesWritten implements socket.WriteObserver.
func (c *conn) BytesWritten(n int) { c.sent.Add(int64(n)) }

// close closes the connection; the event loop then calls CloseAndClean.
func (c *conn) close() { socket.Shutdown(c.nbc) }

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *conn) UnderlayerConn() net.Conn { return c.nbc }

// Parse implements nbhttp.ParserCloser; the event loop calls it with the received data,
// which is only valid during the call. An error closes the connection.
func (c *conn) Parse(data []byte) error {
	if c.via != nil {
		return c.parseRelayed(data)
	}
	if c.tls == nil {
		return c.handlePlaintext(data)
	}
	err := c.tls.Feed(data, nil)
	if errors.Is(err, io.EOF) {
		c.endOfResponses()
	}
	return err
}

// handlePlaintext handles the received data, after decryption if TLS is used.
func (c *conn) handlePlaintext(data []byte) error {
	completed, err := c.handleData(data)
	if completed {
		// The event loop makes a system call next and would hold the processor on which the
		// waiting goroutine was queued; let that goroutine run first.
		runtime.Gosched()
	}
	return err
}

// handleData processes received data and reports whether it completed the response.
func (c *conn) handleData(data []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, net.ErrClosed
	}
	if !c.busy {
		return false, c.failRequest(errUnexpectedData)
	}
	early := c.sent.Load() == 0
	c.early = early || c.early && len(c.buf) > 0
	if err := c.receive(data, early); err != nil {
		return false, c.failRequest(err)
	}
	return !c.busy, nil
}

// CloseAndClean implements nbhttp.ParserCloser; it is called once, after the connection
// has been closed.
func (c *conn) CloseAndClean(err error) {
	if c.isIdle() {
		c.client.reportLost(c.pool.address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = c.failRequest(errors.CombineErrors(errClosed, err))
	}
	c.parser.CloseAndClean(err)
	if c.via != nil {
		c.via.Release()
	}
}

// failRequest fails the request in flight, if any, and returns err.
func (c *conn) failRequest(err error) error {
	c.closed = true
	c.buf = nil
	c.deliver(result{err: err})
	return err
}

// deliver passes r to the request in flight.
func (c *conn) deliver(r result) {
	c.releaseBuffer()
	if !c.busy {
		return
	}
	c.busy = false
	c.request = nil
	c.result <- r
}

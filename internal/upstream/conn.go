package upstream

import (
	"context"
	"net/http"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

type result struct {
	resp *httpwire.Response
	err  error
}

// conn is one connection with at most one request in flight. It implements
// nbhttp.Processor.
type conn struct {
	address string
	nbc     *nbio.Conn
	result  chan result

	mu     sync.Mutex
	busy   bool
	closed bool
	resp   *httpwire.Response
}

func (c *conn) roundTrip(ctx context.Context, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	if !c.begin() {
		return nil, errkind.New(errkind.ConnectFailed, "connection closed before use")
	}
	if err := httpwire.WriteRequest(c.nbc, req); err != nil {
		return nil, errkind.Wrap(errkind.UpstreamBroken, err, c.address)
	}
	select {
	case r := <-c.result:
		if r.err != nil {
			return nil, errkind.Wrap(errkind.UpstreamBroken, r.err, c.address)
		}
		return r.resp, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), c.address)
	}
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.busy {
		return false
	}
	c.busy = true
	return true
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *conn) close() { _ = c.nbc.Close() }

// OnMethod is not called for responses.
func (c *conn) OnMethod(*nbhttp.Parser, string) {}

// OnURL is not called for responses.
func (c *conn) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto starts a response.
func (c *conn) OnProto(*nbhttp.Parser, string) error {
	c.resp = &httpwire.Response{Header: make(http.Header)}
	return nil
}

// OnStatus stores the status code.
func (c *conn) OnStatus(_ *nbhttp.Parser, code int, _ string) { c.resp.Status = code }

// OnHeader stores one header.
func (c *conn) OnHeader(_ *nbhttp.Parser, key, value string) {
	c.resp.Header[key] = append(c.resp.Header[key], value)
}

// OnContentLength stores the declared length.
func (c *conn) OnContentLength(_ *nbhttp.Parser, n int) { c.resp.ContentLength = int64(n) }

// OnBody appends a part of the body.
func (c *conn) OnBody(_ *nbhttp.Parser, data []byte) error {
	c.resp.Body = append(c.resp.Body, data...)
	return nil
}

// OnTrailerHeader drops trailers.
func (c *conn) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete hands the response to the waiting request.
func (c *conn) OnComplete(*nbhttp.Parser) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.closed = true
		go c.close()
		return
	}
	c.busy = false
	c.result <- result{resp: c.resp}
	c.resp = nil
}

// Close is called when the connection ends.
func (c *conn) Close(_ *nbhttp.Parser, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.busy {
		c.busy = false
		c.result <- result{err: err}
	}
}

// Clean is called when the parser is released.
func (c *conn) Clean(*nbhttp.Parser) {}

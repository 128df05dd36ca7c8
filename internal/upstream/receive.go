package upstream

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
)

const (
	firstFinalStatus = 200
	maxInterim       = 16
	// keepAliveMargin is how long before the announced end of an idle connection
	// it is not used any more: a request may be on its way when it closes.
	keepAliveMargin = 700 * time.Millisecond
)

// receive adds data to the answer being received and hands it over when it is
// whole. Interim answers are dropped.
func (c *conn) receive(data []byte) error {
	owned := len(c.buf) > 0
	if owned {
		c.buf = append(c.buf, data...)
		data = c.buf
	}
	for len(data) > 0 {
		done, err := c.scanner.Scan(data)
		if err != nil {
			return err
		}
		if !done {
			break
		}
		end := c.scanner.End()
		if c.scanner.Head().Status >= firstFinalStatus {
			mine, err := c.complete(data[:end:end], owned, len(data) == end)
			if mine || err != nil {
				return err
			}
		}
		data = data[end:]
		if c.interim++; c.interim > maxInterim {
			return errTooInterim
		}
		c.scanner.Restart()
	}
	c.buf = data
	if !owned {
		c.buf = bytes.Clone(data)
	}
	return nil
}

// complete hands over the whole answer. It reports false if the answer is a
// late one to an earlier request, which is dropped. Bytes behind the answer, or
// a late one before it, mean that the connection cannot be trusted with
// another request; alone says that there are none behind.
func (c *conn) complete(message []byte, owned, alone bool) (bool, error) {
	resp, err := c.parse(message, owned)
	if err != nil {
		return false, err
	}
	if mine := c.pool.mine; mine != nil && !mine(c.request, resp.Header) {
		c.late = true
		return false, nil
	}
	c.buf = nil
	head := c.scanner.Head()
	c.idleFor = time.Duration(head.KeepAliveFor) * time.Second
	c.finish(result{resp: resp, reusable: head.Persistent() && alone && !c.late})
	return true, nil
}

// ReadsOn implements socket.Ender.
func (c *conn) ReadsOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && c.scanner.Head().UntilClose
}

// EndOfFile implements socket.Ender: it hands over an answer whose end is that
// of the connection.
func (c *conn) EndOfFile() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.busy || !c.scanner.Closed() {
		return
	}
	if _, err := c.complete(c.buf, true, true); err != nil {
		_ = c.end(err) // given to the request
	}
}

var errNotOneAnswer = errors.New("not exactly one answer")

// parse shows the parser one answer. The body shares the answer's memory if
// that is owned.
func (c *conn) parse(message []byte, owned bool) (*httpwire.Response, error) {
	g := &c.gathering
	head := c.scanner.Head()
	*g = gathering{resp: &httpwire.Response{
		Status:        head.Status,
		Header:        make(http.Header),
		ContentLength: head.ContentLength,
	}, owned: owned}
	defer func() { *g = gathering{} }()
	if !owned && c.scanner.BodyBytes() > 0 {
		g.resp.Body = make([]byte, 0, c.scanner.BodyBytes())
	}
	if head.UntilClose {
		// The parser would wait for a length: it is shown the head alone.
		g.resp.Body = message[head.Bytes:]
		message = message[:head.Bytes]
	}
	if err := c.scanner.Feed(message, c.parser.Parse); err != nil {
		return nil, err
	}
	if head.UntilClose {
		return g.resp, nil
	}
	if g.complete != 1 || len(g.resp.Body) != c.scanner.BodyBytes() {
		return nil, errNotOneAnswer
	}
	return g.resp, nil
}

// usable reports whether an idle connection may carry a request.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed || (c.idleFor > 0 && now.Sub(c.idleSince) > c.idleFor-keepAliveMargin) {
		return false
	}
	return socket.Quiet(c.nbc)
}

// gathering implements nbhttp.Processor: it collects the answer that the
// parser calls back for. It is used under the connection's lock.
type gathering struct {
	resp     *httpwire.Response
	owned    bool
	complete int
}

// OnMethod is not called for responses.
func (g *gathering) OnMethod(*nbhttp.Parser, string) {}

// OnURL is not called for responses.
func (g *gathering) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor; the scanner has the version.
func (g *gathering) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor; the scanner has the status.
func (g *gathering) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (g *gathering) OnHeader(_ *nbhttp.Parser, key, value string) {
	if key == "Content-Length" {
		return
	}
	g.resp.Header[key] = append(g.resp.Header[key], strings.Trim(value, " \t"))
}

// OnContentLength implements nbhttp.Processor; the scanner has the length.
func (g *gathering) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (g *gathering) OnBody(_ *nbhttp.Parser, data []byte) error {
	if g.owned && g.resp.Body == nil {
		g.resp.Body = data[:len(data):len(data)]
		return nil
	}
	g.resp.Body = append(g.resp.Body, data...)
	return nil
}

// OnTrailerHeader is not called: trailers are dropped before the parser.
func (g *gathering) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (g *gathering) OnComplete(*nbhttp.Parser) { g.complete++ }

// Close implements nbhttp.Processor; the connection cleans up itself.
func (g *gathering) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (g *gathering) Clean(*nbhttp.Parser) {}

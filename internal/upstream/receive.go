package upstream

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
)

const (
	firstFinalStatus = 200
	maxInterim       = 16
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
		if c.scanner.Head().Status >= firstFinalStatus {
			return c.complete(data, owned)
		}
		data = data[c.scanner.End():]
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

// complete hands over the whole answer. Bytes behind it mean that the
// connection cannot be trusted with another request.
func (c *conn) complete(data []byte, owned bool) error {
	end := c.scanner.End()
	resp, err := c.parse(data[:end:end], owned)
	if err != nil {
		return err
	}
	c.buf = nil
	reusable := c.scanner.Head().Persistent() && len(data) == end
	c.finish(result{resp: resp, reusable: reusable})
	return nil
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
	if err := c.scanner.Feed(message, c.parser.Parse); err != nil {
		return nil, err
	}
	if g.complete != 1 || len(g.resp.Body) != c.scanner.BodyBytes() {
		return nil, errNotOneAnswer
	}
	return g.resp, nil
}

// usable reports whether an idle connection may carry a request.
func (c *conn) usable() bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	return !closed && socket.Quiet(c.nbc)
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

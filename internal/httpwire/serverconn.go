package httpwire

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// serverConn implements nbhttp.Processor: it gathers one request and starts a
// goroutine that serves it.
type serverConn struct {
	server *Server
	conn   *nbio.Conn
	ctx    context.Context
	cancel context.CancelFunc
	req    *Request
}

// OnMethod starts a request.
func (c *serverConn) OnMethod(_ *nbhttp.Parser, method string) {
	c.req = &Request{Method: method, Header: make(http.Header)}
}

// OnURL stores the request target.
func (c *serverConn) OnURL(_ *nbhttp.Parser, target string) error {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return err
	}
	c.req.Target = target
	c.req.Path = u.Path
	return nil
}

// OnProto stores the protocol version.
func (c *serverConn) OnProto(_ *nbhttp.Parser, proto string) error {
	_, minor, ok := http.ParseHTTPVersion(proto)
	if !ok {
		return nbhttp.ErrInvalidHTTPVersion
	}
	c.req.minor = minor
	return nil
}

// OnStatus is not called for requests.
func (c *serverConn) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader stores one header.
func (c *serverConn) OnHeader(_ *nbhttp.Parser, key, value string) {
	if key == "Host" {
		c.req.Host = value
		return
	}
	c.req.Header[key] = append(c.req.Header[key], value)
}

// OnContentLength is implied by the body.
func (c *serverConn) OnContentLength(*nbhttp.Parser, int) {}

// OnBody appends a part of the body.
func (c *serverConn) OnBody(_ *nbhttp.Parser, data []byte) error {
	if len(c.req.Body)+len(data) > c.server.conf.MaxBodyBytes {
		return nbhttp.ErrTooLong
	}
	c.req.Body = append(c.req.Body, data...)
	return nil
}

// OnTrailerHeader drops trailers.
func (c *serverConn) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete serves the request.
func (c *serverConn) OnComplete(*nbhttp.Parser) {
	req := c.req
	c.req = nil
	req.Received = time.Now()
	req.RemoteAddr = c.conn.RemoteAddr().String()
	req.keepAlive = keepsAlive(req)
	go c.server.serve(c, req)
}

// Close is called when the connection ends.
func (c *serverConn) Close(*nbhttp.Parser, error) { c.cancel() }

// Clean is called when the parser is released.
func (c *serverConn) Clean(*nbhttp.Parser) {}

func keepsAlive(req *Request) bool {
	connection := strings.ToLower(strings.Join(req.Header["Connection"], ","))
	if req.minor == 0 {
		return strings.Contains(connection, "keep-alive")
	}
	return !strings.Contains(connection, "close")
}

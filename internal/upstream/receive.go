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
	// maxInterim bounds the dropped responses before the one to a request. Together they may also have
	// no more bytes than the largest response.
	maxInterim = 16
	// maxQueryBody bounds the body of the response to a load query, in bytes. Nobody uses the body.
	maxQueryBody = 32 << 10
	// keepAliveMargin is how long before its announced timeout an idle connection is no
	// longer used: the upstream could close it while a request is in transit.
	keepAliveMargin = 700 * time.Millisecond
)

// receive adds data to the current response and delivers it when it is complete. Interim
// responses are dropped. Early means that data arrived before any byte of the request was sent.
func (c *conn) receive(data []byte, early bool) error {
	owned := len(c.buf) > 0
	if owned {
		c.buf = append(c.reserve(len(data)), data...)
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
			matched, err := c.complete(data[:end:end], owned, len(data) == end)
			if matched || err != nil {
				return err
			}
			c.early = early
		}
		data = data[end:]
		c.dropped += end
		if c.interim++; c.interim > maxInterim || c.dropped > c.limits.MaxMessageBytes() {
			return errTooManyInterim
		}
		c.scanner.Restart()
	}
	c.buf = data
	if !owned {
		c.buf = bytes.Clone(data)
	}
	return c.accountBuffer()
}

// reserve returns the buffered bytes with room for n more. A full buffer doubles, but not beyond the
// end of the response where that is known: smaller steps would copy a large body many times and
// leave several times its size to the garbage collector.
func (c *conn) reserve(n int) []byte {
	need := len(c.buf) + n
	if need <= cap(c.buf) {
		return c.buf
	}
	size := 2 * cap(c.buf)
	if head := c.scanner.Head(); c.scanner.HeadDone() && head.ContentLength > 0 {
		size = min(size, head.Bytes+int(head.ContentLength))
	}
	return append(make([]byte, 0, max(size, need)), c.buf...)
}

// complete delivers the complete response. It returns false if the response is a late one
// to an earlier request, which is dropped. The connection is not reused if data follows the
// response or if a late response preceded it; alone means that no data follows.
func (c *conn) complete(message []byte, owned, alone bool) (bool, error) {
	resp, err := c.parse(message, owned)
	if err != nil {
		return false, err
	}
	if c.early || !c.attribute(resp) {
		c.late = true
		return false, nil
	}
	c.buf = nil
	head := c.scanner.Head()
	c.idleFor = time.Duration(head.KeepAliveSeconds) * time.Second
	c.deliver(result{resp: resp, reusable: head.Persistent() && alone && !c.late})
	return true, nil
}

// attribute records whose response this is. It returns false if it is not that of the request in flight.
func (c *conn) attribute(resp *httpwire.Response) bool {
	attribution := httpwire.Named
	if f := c.client.conf.Attribute; f != nil {
		attribution = f(c.request, resp)
	}
	switch attribution {
	case httpwire.Named:
		c.unnamed = 0
	case httpwire.UnnamedRefusal:
		resp.Doubtful = c.unnamed > 1
		c.queriesOnly = true
		c.unnamed++
	case httpwire.Unnamed:
		c.unnamed++
	}
	return attribution != httpwire.Foreign
}

// ReadUntilEOF implements socket.EOFHandler.
func (c *conn) ReadUntilEOF() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && c.scanner.Head().UntilClose
}

// EndOfFile implements socket.EOFHandler. The end of a relayed connection counts only if its peer has
// stated that it is that of the upstream's, and that of a TLS connection only after an alert.
func (c *conn) EndOfFile() {
	if c.via == nil && c.tls == nil {
		c.endOfResponses()
	}
}

// endOfResponses delivers a response that is delimited by the end of the connection.
func (c *conn) endOfResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.busy || !c.scanner.PeerClosed() {
		return
	}
	if _, err := c.complete(c.buf, true, true); err != nil {
		_ = c.failRequest(err) // given to the request
	}
}

var errNotOneResponse = errors.New("not exactly one answer")

// parse parses one response. The body refers to the memory of message if owned is set.
func (c *conn) parse(message []byte, owned bool) (*httpwire.Response, error) {
	b := &c.builder
	head := c.scanner.Head()
	*b = responseBuilder{resp: &httpwire.Response{
		Status:        head.Status,
		Header:        make(http.Header),
		ContentLength: head.ContentLength,
	}, owned: owned}
	defer func() { *b = responseBuilder{} }()
	if !owned && c.scanner.BodyBytes() > 0 {
		b.resp.Body = make([]byte, 0, c.scanner.BodyBytes())
	}
	if head.UntilClose {
		// The parser would wait for a length: it only gets the head.
		b.resp.Body = message[head.Bytes:]
		message = message[:head.Bytes]
	}
	if err := c.scanner.Feed(message, c.parser.Parse); err != nil {
		return nil, err
	}
	if head.UntilClose {
		return b.resp, nil
	}
	if b.complete != 1 || len(b.resp.Body) != c.scanner.BodyBytes() {
		return nil, errNotOneResponse
	}
	return b.resp, nil
}

// usable reports whether an idle connection may be used for a request.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if c.via != nil && !c.via.Usable() {
		return false
	}
	if closed || (c.idleFor > 0 && now.Sub(c.idleSince) > c.idleFor-keepAliveMargin) {
		return false
	}
	return socket.NoUnreadData(c.nbc)
}

// responseBuilder implements nbhttp.Processor: it builds a response from the parser's
// callbacks. It is used under the connection's lock.
type responseBuilder struct {
	resp     *httpwire.Response
	owned    bool
	complete int
}

// OnMethod is not called for responses.
func (b *responseBuilder) OnMethod(*nbhttp.Parser, string) {}

// OnURL is not called for responses.
func (b *responseBuilder) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor; the version is taken from the scanner.
func (b *responseBuilder) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor; the status is taken from the scanner.
func (b *responseBuilder) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (b *responseBuilder) OnHeader(_ *nbhttp.Parser, key, value string) {
	if key == "Content-Length" {
		return
	}
	b.resp.Header[key] = append(b.resp.Header[key], strings.Trim(value, " \t"))
}

// OnContentLength implements nbhttp.Processor; the length is taken from the scanner.
func (b *responseBuilder) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (b *responseBuilder) OnBody(_ *nbhttp.Parser, data []byte) error {
	if b.owned && b.resp.Body == nil {
		b.resp.Body = data[:len(data):len(data)]
		return nil
	}
	b.resp.Body = append(b.resp.Body, data...)
	return nil
}

// OnTrailerHeader is not called: trailers are removed before parsing.
func (b *responseBuilder) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (b *responseBuilder) OnComplete(*nbhttp.Parser) { b.complete++ }

// Close implements nbhttp.Processor; conn cleans up itself.
func (b *responseBuilder) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (b *responseBuilder) Clean(*nbhttp.Parser) {}

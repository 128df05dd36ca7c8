package httpwire

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// requestBuilder implements nbhttp.Processor: it builds a Request from the
// parser's callbacks. It is used under the connection's lock.
type requestBuilder struct {
	req *Request
	// owned is true if the body may share the memory that the parser is given.
	owned bool
	// complete counts the messages that the parser has completed.
	complete int
}

const initialHeaderCount = 8

func newRequest() *Request { return &Request{Header: make(http.Header, initialHeaderCount)} }

// OnMethod implements nbhttp.Processor.
func (b *requestBuilder) OnMethod(_ *nbhttp.Parser, method string) { b.req.Method = method }

// OnURL implements nbhttp.Processor.
func (b *requestBuilder) OnURL(_ *nbhttp.Parser, target string) error {
	path, err := decodePath(target)
	if err != nil {
		return err
	}
	b.req.Target = target
	b.req.Path = path
	return nil
}

// OnProto implements nbhttp.Processor.
func (b *requestBuilder) OnProto(_ *nbhttp.Parser, proto string) error {
	if proto == "HTTP/1.1" {
		b.req.minor = 1
	}
	return nil
}

// OnStatus implements nbhttp.Processor; it is not called for requests.
func (b *requestBuilder) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor. Content-Length and Expect are dropped: the
// connection has handled them, and the request is forwarded with its own
// Content-Length and without an expectation.
func (b *requestBuilder) OnHeader(_ *nbhttp.Parser, key, value string) {
	value = strings.Trim(value, " \t")
	switch key {
	case "Host":
		b.req.Host = value
	case "Content-Length", "Expect":
	default:
		b.req.Header[key] = append(b.req.Header[key], value)
	}
}

// OnContentLength implements nbhttp.Processor; the length is that of the body.
func (b *requestBuilder) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (b *requestBuilder) OnBody(_ *nbhttp.Parser, data []byte) error {
	if b.owned && b.req.Body == nil {
		b.req.Body = data[:len(data):len(data)]
		return nil
	}
	b.req.Body = append(b.req.Body, data...)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor; it is not called because trailers
// are dropped before the parser sees them.
func (b *requestBuilder) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (b *requestBuilder) OnComplete(*nbhttp.Parser) { b.complete++ }

// Close implements nbhttp.Processor; serverConn does its own cleanup.
func (b *requestBuilder) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (b *requestBuilder) Clean(*nbhttp.Parser) {}

var errDotSegment = errors.New("dot segment in the path")

// decodePath returns the decoded path of a request target. It refuses dot segments:
// an upstream would resolve them and run a request that another routing rule covers.
func decodePath(target string) (string, error) {
	path, _, _ := strings.Cut(target, "?")
	if strings.IndexByte(path, '%') >= 0 {
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return "", err
		}
		path = decoded
	}
	if strings.Contains(path, "/.") && hasDotSegment(path) {
		return "", errDotSegment
	}
	return path, nil
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

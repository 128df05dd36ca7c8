package httpwire

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// gathering implements nbhttp.Processor: it collects the request that the
// parser calls back for. It is used under the connection's lock.
type gathering struct {
	req      *Request
	owned    bool
	complete int
}

const typicalHeaders = 8

func newRequest() *Request { return &Request{Header: make(http.Header, typicalHeaders)} }

// OnMethod implements nbhttp.Processor.
func (g *gathering) OnMethod(_ *nbhttp.Parser, method string) { g.req.Method = method }

// OnURL implements nbhttp.Processor.
func (g *gathering) OnURL(_ *nbhttp.Parser, target string) error {
	path, err := decodePath(target)
	if err != nil {
		return err
	}
	g.req.Target = target
	g.req.Path = path
	return nil
}

// OnProto implements nbhttp.Processor.
func (g *gathering) OnProto(_ *nbhttp.Parser, proto string) error {
	if proto == "HTTP/1.1" {
		g.req.minor = 1
	}
	return nil
}

// OnStatus is not called for requests.
func (g *gathering) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor. The length and the expectation are the
// guard's; the request is sent on sized and without an expectation.
func (g *gathering) OnHeader(_ *nbhttp.Parser, key, value string) {
	value = strings.Trim(value, " \t")
	switch key {
	case "Host":
		g.req.Host = value
	case "Content-Length", "Expect":
	default:
		g.req.Header[key] = append(g.req.Header[key], value)
	}
}

// OnContentLength is implied by the body.
func (g *gathering) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (g *gathering) OnBody(_ *nbhttp.Parser, data []byte) error {
	if g.owned && g.req.Body == nil {
		g.req.Body = data[:len(data):len(data)]
		return nil
	}
	g.req.Body = append(g.req.Body, data...)
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

var errDotSegment = errors.New("dot segment in the path")

// decodePath returns the decoded path of a target. A dot segment is refused:
// an upstream would resolve it, and run another rule's request.
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

package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
)

// FuzzAnswer checks that a response which the scanner and the library's parser accept has
// the same status, headers and body when it is parsed by net/http.
func FuzzAnswer(f *testing.F) {
	for _, message := range []string{
		okResponse,
		"HTTP/1.1 200 \r\nContent-Length: 2\r\nX: \t y \r\n\r\nok",
		"HTTP/1.0 404 4 0 4\r\nContent-Length: 0\r\nX:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\nH",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nHTTP",
		"HTTP/1.1 204\r\nContent-Length: 5\r\n\r\n",
	} {
		f.Add([]byte(message), false)
		f.Add([]byte(message), true)
	}
	engine := nbhttp.NewEngine(nbhttp.Config{})
	limits := framing.Limits{HeadBytes: 1 << 12, BodyBytes: 1 << 12}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		c := &conn{}
		c.parser = nbhttp.NewParser(nil, engine, &c.builder, true, nil)
		c.scanner.ResetResponse(method, limits)
		if done, err := c.scanner.Scan(data); !done || err != nil {
			return
		}
		is := is.New(t)
		got, err := c.parse(data[:c.scanner.End()], false)
		is.NoErr(err)
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: method})
		is.NoErr(err)
		body, err := io.ReadAll(want.Body)
		is.NoErr(err)
		is.Equal(got.Status, want.StatusCode)
		is.Equal(string(got.Body), string(body))
		for _, h := range []http.Header{got.Header, want.Header} {
			for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
				h.Del(name)
			}
			if h.Get("Pragma") != "" {
				h.Del("Cache-Control") // net/http derives it from Pragma
			}
		}
		is.Equal(got.Header, want.Header)
	})
}

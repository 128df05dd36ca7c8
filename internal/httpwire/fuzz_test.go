package httpwire

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

// FuzzGuard checks that a request that is accepted by the framing check and the
// library's parser is the same request to net/http: method, target, host, headers, body.
func FuzzGuard(f *testing.F) {
	for _, message := range []string{
		"GET /a?b=c HTTP/1.1\r\nHost: a\r\nAccept: */*\r\nAccept: \t x \r\n\r\n",
		"POST / HTTP/1.1\r\nHost: [::1]:80\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabcGET",
		"PUT /%41 HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\nEmpty:\r\n\r\n1;e\r\nx\r\n02\r\nyz\r\n0\r\nX: y\r\n\r\nGET",
		"OPTIONS * HTTP/1.1\r\nhost:a\r\nX:\r\nY:  \r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(message))
	}
	engine := nbhttp.NewEngine(nbhttp.Config{})
	limits := framing.Limits{HeadBytes: testMaxHead, BodyBytes: testMaxHead}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &serverConn{}
		c.parser = nbhttp.NewParser(nil, engine, &c.builder, false, nil)
		c.scanner.ResetRequest(limits)
		if done, err := c.scanner.Scan(data); !done || err != nil {
			return
		}
		got, err := c.parse(data[:c.scanner.End()], false)
		if err != nil {
			return
		}
		is := is.New(t)
		want, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		is.NoErr(err)
		body, err := io.ReadAll(want.Body)
		is.NoErr(err)
		is.Equal(got.Method, want.Method)
		is.Equal(got.Target, want.RequestURI)
		is.Equal(got.Path, want.URL.Path)
		is.Equal(got.Host, want.Host)
		is.Equal(string(got.Body), string(body))
		is.Equal(normalized(got.Header), normalized(want.Header))
	})
}

// normalized removes the headers that the two parsers represent outside the header map,
// and the one that net/http derives from Pragma.
func normalized(h http.Header) http.Header {
	for _, name := range []string{"Content-Length", "Expect", "Transfer-Encoding", "Trailer"} {
		h.Del(name)
	}
	if h.Get("Pragma") != "" {
		h.Del("Cache-Control")
	}
	return h
}

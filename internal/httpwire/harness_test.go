package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

const (
	testMaxHead = 4 << 10
	testMaxBody = 8 << 20
	testWait    = 10 * time.Second
)

type handlerFunc func(ctx context.Context, req *Request) *Response

func (f handlerFunc) Serve(ctx context.Context, req *Request) *Response { return f(ctx, req) }

// echo responds with the request's path and body, and counts the requests.
func echo(served *atomic.Int64) handlerFunc {
	return func(_ context.Context, req *Request) *Response {
		served.Add(1)
		return &Response{
			Status:        http.StatusOK,
			Header:        http.Header{"X-Path": {req.Path}, "X-Length": {strconv.Itoa(len(req.Body))}},
			Body:          req.Body,
			ContentLength: int64(len(req.Body)),
		}
	}
}

func startServer(t *testing.T, h Handler, change func(*ServerConfig)) *Server {
	t.Helper()
	conf := ServerConfig{
		Address:      "127.0.0.1:0",
		MaxHeadBytes: testMaxHead,
		MaxBodyBytes: testMaxBody,
		Handler:      h,
	}
	if change != nil {
		change(&conf)
	}
	s := NewServer(conf)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// testCaller is a raw caller connection.
type testCaller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, s *Server) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testWait))
	return &testCaller{conn, bufio.NewReader(conn)}
}

// readResponse reads one response and its complete body.
func (c *testCaller) readResponse(t *testing.T, method string) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

func (c *testCaller) send(t *testing.T, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// atEOF reports whether the server has closed its sending side.
func (c *testCaller) atEOF() bool {
	_, err := c.r.ReadByte()
	return err == io.EOF
}

package httpwire

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPipelinedResponsesKeepOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, handlerFunc(func(_ context.Context, req *Request) *Response {
		if req.Path == "/0" {
			<-release
		}
		return &Response{Status: http.StatusOK, Header: http.Header{"X-Path": {req.Path}}}
	}), nil)
	c := dial(t, s)
	const n = 20
	var requests strings.Builder
	for i := range n {
		fmt.Fprintf(&requests, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", i)
	}
	all := requests.String()
	c.send(t, all[:len(all)/2])
	close(release)
	c.send(t, all[len(all)/2:])
	for i := range n {
		resp, _ := c.readResponse(t, "POST")
		is.Equal(resp.Header.Get("X-Path"), "/"+strconv.Itoa(i))
	}
}

func TestPipelineOverflowClosesAfterTheResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var served atomic.Int64
	s := startServer(t, handlerFunc(func(context.Context, *Request) *Response {
		served.Add(1)
		<-release
		return &Response{Status: http.StatusOK}
	}), nil)
	c := dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.send(t, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2*maxPipelinedBytes/28))
	for sc := onlyConn(s); !sc.overflowed(); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	resp, _ := c.readResponse(t, "GET")
	is.True(resp.Close)
	is.True(c.atEOF())
	is.Equal(served.Load(), int64(1))
}

// overflowed reports whether the caller has pipelined more than is buffered.
func (c *serverConn) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflow
}

// TestNextRequestBesideTheAnswer sends the next request while a response that leaves
// the connection open is still being written: its first bytes have arrived.
func TestNextRequestBesideTheAnswer(t *testing.T) {
	var served atomic.Int64
	testNextRequestDuringResponse(t, startServer(t, echo(&served), nil), dial)
}

// testNextRequestDuringResponse uses connections that open makes to s, which must
// echo request bodies.
func testNextRequestDuringResponse(t *testing.T, s *Server, open func(*testing.T, *Server) *testCaller) {
	whole := strings.Repeat("0123456789abcdef", testMaxBody/16)
	post := func(body string) string {
		return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	chunked := func(body string, size int) string {
		var b strings.Builder
		b.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		for ; len(body) > 0; body = body[min(size, len(body)):] {
			n := min(size, len(body))
			b.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n" + body[:n] + "\r\n")
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	}
	few := whole[:2*maxPipelinedBytes]
	for name, test := range map[string]struct {
		next   string
		status []int
		closes bool // the last response announces a close, and the close follows
	}{
		"sized":           {post(whole), []int{200}, false},
		"chunked":         {chunked(whole, 1<<20), []int{200}, false},
		"small chunks":    {chunked(few, 4), []int{200}, false},
		"many requests":   {strings.Repeat(post(few[:maxPipelinedBytes/4]), 3), []int{200, 200, 200}, false},
		"over the limit":  {post(whole + "x"), []int{413}, true},
		"far over it":     {post(strings.Repeat(whole, 4)), []int{413}, true},
		"not a request":   {strings.Repeat("x", 2*maxPipelinedBytes), []int{431}, true},
		"with a second":   {post(few) + post("second"), []int{200, 200}, false},
		"second too big":  {post("first") + post(strings.Repeat(whole, 3)), []int{200}, true},
		"line feeds only": {strings.Repeat("\n", 2*maxPipelinedBytes), []int{400}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := open(t, s)
			c.send(t, post(whole))
			_, err := c.r.Peek(1)
			is.NoErr(err)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = io.WriteString(c, test.next) // a refusal may interrupt it
			}()
			time.Sleep(10 * time.Millisecond) // most of it arrives before the response is read
			resp, body := c.readResponse(t, "POST")
			is.Equal(len(body), len(whole))
			is.True(!resp.Close)
			for _, status := range test.status {
				resp, _ = c.readResponse(t, "POST")
				is.Equal(resp.StatusCode, status)
			}
			if test.closes && !resp.Close {
				// The last request had not arrived completely when the response was
				// written, so it is refused separately.
				resp, _ = c.readResponse(t, "POST")
				is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			}
			is.Equal(resp.Close, test.closes)
			if test.closes {
				is.True(c.atEOF())
			}
			_ = c.Close()
			<-sent
		})
	}
}

// onlyConn waits for the only connection of s and returns it.
func onlyConn(s *Server) *serverConn {
	for {
		s.mu.Lock()
		for c := range s.conns {
			s.mu.Unlock()
			return c
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

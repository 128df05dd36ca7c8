package httpwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// refusals are requests that must not reach the handler, and the error kinds of the responses.
var refusals = map[string]struct {
	request string
	kind    errkind.Kind
}{
	"smuggled length": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /", errkind.BadRequest},
	"two lengths":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nGET /", errkind.BadRequest},
	"space in name":   {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", errkind.BadRequest},
	"no host":         {"GET / HTTP/1.1\r\n\r\n", errkind.BadRequest},
	"bad chunk":       {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n", errkind.BadRequest},
	"bad escape":      {"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", errkind.BadRequest},
	"dot segment":     {"GET /lookup/%2e%2e/sale HTTP/1.1\r\nHost: a\r\n\r\n", errkind.BadRequest},
	"absolute form":   {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", errkind.BadRequest},
	"long head":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", testMaxHead) + "\r\n\r\n", errkind.HeaderTooLarge},
	"long body":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(testMaxBody+1) + "\r\n\r\n", errkind.BodyTooLarge},
}

func TestRefusalsRespondAndClose(t *testing.T) {
	checkRefusals(t, dial, nil)
}

// checkRefusals sends the refusals over connections made by connect.
func checkRefusals(t *testing.T, connect func(*testing.T, *Server) *testCaller, change func(*ServerConfig)) {
	var served atomic.Int64
	s := startServer(t, echo(&served), change)
	for name, test := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, s)
			c.send(t, test.request)
			resp, _ := c.readResponse(t, "GET")
			is.Equal(resp.StatusCode, test.kind.Answer().Status)
			is.Equal(resp.Header.Get("Dapplespindle-Error"), test.kind.String())
			is.Equal(resp.Header.Get("Dapplespindle-Outcome"), "not-run")
			is.True(resp.Close)
			is.True(c.atEOF())
		})
	}
	is.New(t).Equal(served.Load(), int64(0))
}

func TestRefusalIsReadWhileTheCallerStillSends(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	c := dial(t, s)
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(2*testMaxBody)+"\r\n\r\n")
	_, err := c.Write(make([]byte, 2*testMaxBody))
	is.NoErr(err)
	resp, _ := c.readResponse(t, "POST")
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

func TestSlowSendersTimeOut(t *testing.T) {
	var served atomic.Int64
	s := startServer(t, echo(&served), func(c *ServerConfig) {
		c.HeadTimeout = 20 * time.Millisecond
		c.BodyTimeout = 20 * time.Millisecond
	})
	for name, part := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost: a\r\nX:",
		"body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, s)
			c.send(t, part)
			resp, _ := c.readResponse(t, "GET")
			is.Equal(resp.StatusCode, http.StatusRequestTimeout)
			is.True(c.atEOF())
		})
	}
	is.New(t).Equal(served.Load(), int64(0))
}

func TestIdleConnectionIsClosedWithoutAResponse(t *testing.T) {
	var served atomic.Int64
	s := startServer(t, echo(&served), func(c *ServerConfig) { c.IdleTimeout = 20 * time.Millisecond })
	is.New(t).True(dial(t, s).atEOF())
}

func TestDisconnectCancels(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	s := startServer(t, handlerFunc(func(ctx context.Context, _ *Request) *Response {
		close(started)
		<-ctx.Done()
		close(ended)
		return &Response{Status: http.StatusOK}
	}), nil)
	c := dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(testWait):
		t.Fatal("context did not end")
	}
}

func TestLargeBodiesInBothDirections(t *testing.T) {
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	body := bytes.Repeat([]byte("0123456789abcdef"), testMaxBody/16)
	for name, reader := range map[string]func() io.Reader{
		"sized":   func() io.Reader { return bytes.NewReader(body) },
		"chunked": func() io.Reader { return struct{ io.Reader }{bytes.NewReader(body)} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 3 {
				resp, err := http.Post("http://"+s.Addr()+"/", "text/plain", reader())
				is.NoErr(err)
				got, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				_ = resp.Body.Close()
				is.True(bytes.Equal(got, body))
			}
		})
	}
}

func TestLargeResponseIsCompleteBeforeTheClose(t *testing.T) {
	is := is.New(t)
	body := make([]byte, testMaxBody)
	s := startServer(t, handlerFunc(func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Body: body}
	}), nil)
	c := dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	resp, got := c.readResponse(t, "GET")
	is.True(resp.Close)
	is.Equal(len(got), len(body))
	is.True(c.atEOF())
}

func TestResponsesWithoutABody(t *testing.T) {
	is := is.New(t)
	s := startServer(t, handlerFunc(func(_ context.Context, req *Request) *Response {
		status, _ := strconv.Atoi(req.Path[1:])
		return &Response{Status: status, Body: []byte("body"), ContentLength: 4}
	}), nil)
	c := dial(t, s)
	for _, test := range []struct {
		method, path string
		status       int
	}{{"HEAD", "/200", 200}, {"GET", "/204", 204}, {"GET", "/304", 304}, {"GET", "/200", 200}} {
		c.send(t, test.method+" "+test.path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, _ := c.readResponse(t, test.method)
		is.Equal(resp.StatusCode, test.status)
	}
}

func TestContinueIsSentOnlyWhenTheBodyIsAwaited(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	c := dial(t, s)
	head := "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	c.send(t, head)
	resp, _ := c.readResponse(t, "POST")
	is.Equal(resp.StatusCode, http.StatusContinue)
	c.send(t, "ab")
	_, body := c.readResponse(t, "POST")
	is.Equal(string(body), "ab")
	c.send(t, head+"cd")
	_, body = c.readResponse(t, "POST")
	is.Equal(string(body), "cd")
}

func TestVersion10(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	c := dial(t, s)
	c.send(t, "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	resp, _ := c.readResponse(t, "GET")
	is.Equal(resp.Header.Get("Connection"), "keep-alive")
	c.send(t, "GET /b HTTP/1.0\r\n\r\n")
	resp, _ = c.readResponse(t, "GET")
	is.Equal(resp.Header.Get("X-Path"), "/b")
	is.True(c.atEOF())
}

func TestBytewiseRequest(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	c := dial(t, s)
	for _, b := range "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n" {
		c.send(t, string(b))
	}
	_, body := c.readResponse(t, "POST")
	is.Equal(string(body), "abc")
}

func TestPanicFailsTheRequestOnly(t *testing.T) {
	is := is.New(t)
	s := startServer(t, handlerFunc(func(context.Context, *Request) *Response { panic("broken") }), nil)
	c := dial(t, s)
	for range 2 {
		c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, _ := c.readResponse(t, "GET")
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
	}
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	release := make(chan struct{})
	s := startServer(t, handlerFunc(func(_ context.Context, req *Request) *Response {
		if req.Path == "/slow" {
			close(started)
			<-release
		}
		return &Response{Status: http.StatusOK}
	}), nil)
	idle, late, busy := dial(t, s), dial(t, s), dial(t, s)
	busy.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	for s.Connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	left := make(chan int64)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	go func() { left <- s.Shutdown(ctx, time.Second) }()
	for !s.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	late.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, _ := late.readResponse(t, "GET")
	is.True(resp.Close)
	is.True(idle.atEOF())
	close(release)
	resp, _ = busy.readResponse(t, "GET")
	is.True(resp.Close)
	is.True(busy.atEOF())
	is.Equal(<-left, int64(0))
	_, err := net.Dial("tcp", s.Addr())
	is.True(err != nil)
}

func TestRefusalsAreReported(t *testing.T) {
	is := is.New(t)
	reported := make(chan *errkind.Error, 1)
	s := startServer(t, nil, func(c *ServerConfig) {
		c.Refuse = func(remoteAddr string, err *errkind.Error) *Response {
			reported <- err
			return &Response{Status: err.Kind.Answer().Status, Header: http.Header{"X-Remote": {remoteAddr}}}
		}
	})
	c := dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\n\r\n")
	resp, _ := c.readResponse(t, "GET")
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(resp.Header.Get("X-Remote"), c.LocalAddr().String())
	is.Equal((<-reported).Kind, errkind.BadRequest)
}

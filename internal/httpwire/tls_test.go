package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tlsSetup holds a server's TLS configuration and a matching client configuration.
type tlsSetup struct {
	authority *authority
	server    *tls.Config
	client    *tls.Config
}

func newTLSSetup(t testing.TB) *tlsSetup {
	t.Helper()
	a := newAuthority(t)
	return &tlsSetup{
		authority: a,
		server: &tls.Config{
			MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}, DynamicRecordSizingDisabled: true,
			Certificates: []tls.Certificate{a.issue(t, valid())},
		},
		client: &tls.Config{RootCAs: a.pool(), NextProtos: []string{"http/1.1"}},
	}
}

func (s *tlsSetup) set(c *ServerConfig) { c.TLS = s.server }

// dial makes a connection and completes the handshake.
func (s *tlsSetup) dial(t *testing.T, server *Server) *testCaller {
	t.Helper()
	conn, err := tls.Dial("tcp", server.Addr(), s.client)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testWait))
	return &testCaller{conn, bufio.NewReader(conn)}
}

func TestRefusalsOverTLS(t *testing.T) {
	sec := newTLSSetup(t)
	checkRefusals(t, sec.dial, sec.set)
}

func TestBodiesAndKeepAliveOverTLS(t *testing.T) {
	for name, version := range map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			sec := newTLSSetup(t)
			sec.client.MaxVersion = version
			c := sec.dial(t, startServer(t, echo(&served), sec.set))
			is.Equal(c.Conn.(*tls.Conn).ConnectionState().NegotiatedProtocol, "http/1.1")
			for i, size := range []int{0, 1, 16 << 10, 1 << 20, testMaxBody, 3} {
				body := bytes.Repeat([]byte{byte('a' + i)}, size)
				sent := make(chan error, 1)
				go func() {
					_, err := io.WriteString(c, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+string(body))
					sent <- err
				}()
				resp, got := c.readResponse(t, "POST")
				is.NoErr(<-sent)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(bytes.Equal(got, body))
			}
			is.Equal(served.Load(), int64(6))
		})
	}
}

func TestExpectContinueAndPipeliningOverTLS(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	sec := newTLSSetup(t)
	c := sec.dial(t, startServer(t, echo(&served), sec.set))
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	resp, _ := c.readResponse(t, "POST")
	is.Equal(resp.StatusCode, http.StatusContinue)
	c.send(t, "okGET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, body := c.readResponse(t, "POST")
	is.Equal(string(body), "ok")
	for _, path := range []string{"/1", "/2"} {
		resp, _ := c.readResponse(t, "GET")
		is.Equal(resp.Header.Get("X-Path"), path)
	}
}

func TestNextRequestBesideTheAnswerOverTLS(t *testing.T) {
	var served atomic.Int64
	sec := newTLSSetup(t)
	testNextRequestDuringResponse(t, startServer(t, echo(&served), sec.set), sec.dial)
}

func TestDisconnectCancelsOverTLS(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	sec := newTLSSetup(t)
	s := startServer(t, handlerFunc(func(ctx context.Context, _ *Request) *Response {
		close(started)
		<-ctx.Done()
		close(ended)
		return &Response{Status: http.StatusOK}
	}), sec.set)
	c := sec.dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(testWait):
		t.Fatal("the context was not cancelled")
	}
}

func TestGracefulShutdownOverTLS(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	sec := newTLSSetup(t)
	s := startServer(t, handlerFunc(func(context.Context, *Request) *Response {
		close(started)
		<-release
		return &Response{Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), 1<<20)}
	}), sec.set)
	idle, busy := sec.dial(t, s), sec.dial(t, s)
	busy.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	left := make(chan int64, 1)
	go func() { left <- s.Shutdown(context.Background(), 0) }()
	is.True(idle.atEOF())
	close(release)
	resp, body := busy.readResponse(t, "GET")
	is.True(resp.Close)
	is.Equal(len(body), 1<<20)
	is.True(busy.atEOF())
	is.Equal(<-left, int64(0))
}

func TestPlainHTTPOnTLSPort(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	sec := newTLSSetup(t)
	s := startServer(t, echo(&served), sec.set)
	c := dial(t, s)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, body := c.readResponse(t, "GET")
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(resp.Header.Get("Dapplespindle-Outcome"), "not-run")
	is.True(strings.Contains(string(body), "plain HTTP"))
	is.True(c.atEOF())

	c = dial(t, s)
	c.send(t, "SSH-2.0-neither\r\n")
	_, err := io.ReadAll(c) // an alert, then EOF
	is.NoErr(err)
	is.Equal(served.Load(), int64(0))
}

func TestSlowHandshakesAreClosed(t *testing.T) {
	tests := map[string]string{"silent": "", "cut off": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sec := newTLSSetup(t)
			var served atomic.Int64
			s := startServer(t, echo(&served), func(c *ServerConfig) {
				sec.set(c)
				c.HandshakeTimeout = 50 * time.Millisecond
			})
			c := dial(t, s)
			c.send(t, sent)
			is.True(c.atEOF())
			for s.Connections() != 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestFailedHandshakes(t *testing.T) {
	sec := newTLSSetup(t)
	stranger := newAuthority(t)
	mutual := sec.server.Clone()
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, sec.authority.pool()
	expired := sec.server.Clone()
	expired.Certificates = []tls.Certificate{sec.authority.issue(t, time.Now().Add(-time.Minute))}
	tests := map[string]struct {
		server *tls.Config
		change func(*tls.Config)
		ok     bool
	}{
		"good":                         {sec.server, func(*tls.Config) {}, true},
		"another authority":            {sec.server, func(c *tls.Config) { c.RootCAs = stranger.pool() }, false},
		"another name":                 {sec.server, func(c *tls.Config) { c.ServerName = "other" }, false},
		"expired":                      {expired, func(*tls.Config) {}, false},
		"too old a version":            {sec.server, func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS10, tls.VersionTLS11 }, false},
		"another protocol":             {sec.server, func(c *tls.Config) { c.NextProtos = []string{"h2"} }, false},
		"no certificate":               {mutual, func(*tls.Config) {}, false},
		"certificate of a stranger":    {mutual, func(c *tls.Config) { c.Certificates = []tls.Certificate{stranger.issue(t, valid())} }, false},
		"certificate of the authority": {mutual, func(c *tls.Config) { c.Certificates = []tls.Certificate{sec.authority.issue(t, valid())} }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			failed := make(chan error, 1)
			s := startServer(t, echo(&served), func(c *ServerConfig) {
				c.TLS = test.server
				c.OnHandshakeFailed = func(_ string, err error) { failed <- err }
			})
			conf := sec.client.Clone()
			test.change(conf)
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: conf, DisableKeepAlives: true}, Timeout: testWait}
			resp, err := client.Get("https://" + s.Addr() + "/")
			if err == nil {
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, test.ok)
			is.Equal(served.Load() == 1, test.ok)
			if !test.ok {
				select {
				case err := <-failed:
					is.True(err != nil)
				case <-time.After(testWait):
					t.Fatal("the failed handshake was not reported")
				}
			}
		})
	}
}

// TestBytesAfterTheHandshake sends a request right after the caller's last handshake
// message, in many TLS records, from several callers at once.
func TestBytesAfterTheHandshake(t *testing.T) {
	var served atomic.Int64
	sec := newTLSSetup(t)
	s := startServer(t, echo(&served), sec.set)
	const callers, size = 16, 300 << 10
	for range callers {
		t.Run("caller", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := sec.dial(t, s)
			c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("z", size))
			_, body := c.readResponse(t, "POST")
			is.Equal(len(body), size)
		})
	}
}

package httpget

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestEndlessResponses guards against responses without end: little is read of a head and of a body that nobody uses,
// no more than allowed of another body, and the call ends at its deadline when the bytes come one at a time.
func TestEndlessResponses(t *testing.T) {
	const (
		maxBytes = 2 << 20
		// kernelBytes is what both kernels may hold, which double the sizes that are set, and what net/http
		// and the writer hold.
		socketBytes = 16 << 10
		kernelBytes = 4*socketBytes + 256<<10
		never       = 1 << 30
	)
	for name, test := range map[string]struct {
		begin, more string
		slow        bool
		bound       int64
	}{
		"head":           {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 64<<10), false, MaxHeadBytes},
		"headers":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 10<<10), false, MaxHeadBytes},
		"interim":        {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1<<10), false, MaxHeadBytes},
		"body":           {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10), false, maxBytes},
		"unused body":    {"HTTP/1.1 503 Busy\r\n\r\n", strings.Repeat("x", 64<<10), false, maxUnusedBytes},
		"head, slowly":   {"HTTP/1.1 200 OK\r\nX: ", "x", true, never},
		"body, slowly":   {"HTTP/1.1 200 OK\r\n\r\n", "x", true, never},
		"unused, slowly": {"HTTP/1.1 503 Busy\r\n\r\n", "x", true, never},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			var written atomic.Int64
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetWriteBuffer(socketBytes)
				_, err = c.Write([]byte(test.begin))
				for err == nil && written.Load() < never {
					var n int
					n, err = c.Write([]byte(test.more))
					written.Add(int64(n))
					if test.slow {
						time.Sleep(time.Millisecond)
					}
				}
			}()
			timeout := 5 * time.Second
			if test.slow {
				timeout = 200 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
				})
			}}
			transport := &http.Transport{MaxResponseHeaderBytes: MaxHeadBytes, DialContext: dialer.DialContext}
			body, err := Get(ctx, &http.Client{Transport: transport}, "http://"+ln.Addr().String(), maxBytes)
			is.True(err != nil)
			is.True(body == nil)
			is.True(test.slow || ctx.Err() == nil) // it did not need the deadline
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
			is.True(written.Load() <= test.bound+kernelBytes)
		})
	}
}

// TestConnectionIsReusedAfterAShortRefusal checks that a short body of a refusal does not cost the connection.
func TestConnectionIsReusedAfterAShortRefusal(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusTooManyRequests)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	for range 3 {
		_, err := Get(t.Context(), client, server.URL, 1<<20)
		status := new(StatusError)
		is.True(errors.As(err, &status))
		is.Equal(status.Code, http.StatusTooManyRequests)
	}
	is.Equal(connections.Load(), int64(1))
}

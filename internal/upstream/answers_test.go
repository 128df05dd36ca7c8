package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
)

// TestAnswerThatEndsWithItsConnection has neither a length nor chunks.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX: y\r\n\r\nwho"))
		_, _ = c.Write([]byte("le"))
	})
	for range 2 {
		resp, err := client.Do(testContext(t), address, request("GET", nil))
		is.True(err == nil)
		is.Equal(string(resp.Body), "whole")
		is.Equal(resp.Header.Get("X"), "y")
	}
}

// TestResetDoesNotEndAnAnswer cuts an answer without a length by a reset.
func TestResetDoesNotEndAnAnswer(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := client.Do(testContext(t), address, request("GET", nil))
	is.True(err != nil)
}

// TestLateAnswerIsDropped: before the answer comes a second one to the request
// before; the connection is not used again.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{Matches: func(req *httpwire.Request, h http.Header) bool {
		return h.Get("Echo") == req.Header.Get("Id")
	}})
	var connections atomic.Int64
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections.Store(int64(n + 1))
		for readRequest(r) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nEcho: old\r\nContent-Length: 3\r\n\r\nold"))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nEcho: new\r\nContent-Length: 3\r\n\r\nnew"))
		}
	})
	for range 2 {
		req := request("GET", nil)
		req.Header.Set("Id", "new")
		resp, err := client.Do(testContext(t), address, req)
		is.True(err == nil)
		is.Equal(string(resp.Body), "new")
	}
	is.Equal(connections.Load(), int64(2))
}

// TestKeepAliveIsHeeded: an idle connection that its upstream is about to close
// is not used for another request.
func TestKeepAliveIsHeeded(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	var connections atomic.Int64
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections.Store(int64(n + 1))
		for readRequest(r) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	for range 2 {
		_, err := client.Do(testContext(t), address, request("GET", nil))
		is.True(err == nil)
	}
	is.Equal(connections.Load(), int64(1))
	time.Sleep(time.Second - keepAliveMargin + 50*time.Millisecond)
	_, err := client.Do(testContext(t), address, request("GET", nil))
	is.True(err == nil)
	is.Equal(connections.Load(), int64(2))
}

// TestOnceNeedsALivingConnection: an upstream forgets idle connections and
// resets what comes on them.
func TestOnceNeedsALivingConnection(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	var connections atomic.Int64
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for readRequest(r) {
			_, _ = c.Write([]byte(okAnswer))
		}
	})
	once := request("POST", nil)
	once.Once = true
	for range 2 { // right after one another
		_, err := client.Do(testContext(t), address, once)
		is.True(err == nil)
	}
	is.Equal(connections.Load(), int64(1))
	time.Sleep(onceIdle + 50*time.Millisecond)
	_, err := client.Do(testContext(t), address, once)
	is.True(err == nil)
	is.Equal(connections.Load(), int64(2))
}

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
)

const (
	testMaxBody = 8 << 20
	testWait    = 10 * time.Second
)

// script handles the n-th connection of an upstream, counted from 0. The connection is
// closed afterwards.
type script func(n int, c net.Conn, r *bufio.Reader)

func startUpstream(t testing.TB, s script) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				s(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return ln.Addr().String()
}

func startClient(t testing.TB, conf Config) *Client {
	t.Helper()
	conf.MaxResponseBytes = testMaxBody
	c := New(conf)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

func request(method string, body []byte) *httpwire.Request {
	return &httpwire.Request{Method: method, Target: "/", Host: "a", Header: make(http.Header), Body: body}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	return ctx
}

// readRequest reads one complete request; it returns false if there is none.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

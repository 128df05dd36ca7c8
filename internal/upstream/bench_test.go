package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
)

// BenchmarkDo measures one small request to an upstream on a reused connection; the
// upstream's side makes no allocation per request.
func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	const requestBytes = len("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		buf := make([]byte, requestBytes)
		response := []byte(okResponse)
		for {
			if _, err := io.ReadFull(r, buf); err != nil {
				return
			}
			_, _ = conn.Write(response)
		}
	}()
	client := New(Config{MaxResponseBytes: testMaxBody})
	if err := client.Start(); err != nil {
		b.Fatal(err)
	}
	defer client.Stop()
	req := request("GET", nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Do(context.Background(), ln.Addr().String(), req); err != nil {
			b.Fatal(err)
		}
	}
}

package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures one small request and its response on a warm connection.
// The caller side is included but does not allocate.
func BenchmarkRequest(b *testing.B) {
	resp := &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("ok")}
	s := NewServer(ServerConfig{
		Address:      "127.0.0.1:0",
		MaxBodyBytes: testMaxBody,
		Handler:      handlerFunc(func(context.Context, *Request) *Response { return resp }),
	})
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := []byte("GET /catalogue/lots/42?full=1 HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 42\r\n\r\n")
	const responseBytes = len("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok")
	r := bufio.NewReader(conn)
	response := make([]byte, responseBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(r, response); err != nil {
			b.Fatal(err)
		}
	}
}

package httpwire

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"
)

const benchRequest = "GET /catalogue/lots/42?full=1 HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 42\r\n\r\n"

const benchResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"

// benchTarget is a server to measure, and how to connect to it.
type benchTarget struct {
	name    string
	address string
	secure  *tls.Config // nil without TLS
}

// exchange sends one request over c and reads its response.
func exchange(c net.Conn) error {
	if _, err := io.WriteString(c, benchRequest); err != nil {
		return err
	}
	response := make([]byte, len(benchResponse))
	_, err := io.ReadFull(c, response)
	return err
}

func (t benchTarget) connect(b *testing.B) (plain, wire net.Conn) {
	b.Helper()
	wire, err := net.Dial("tcp", t.address)
	if err != nil {
		b.Fatal(err)
	}
	plain = wire
	if t.secure != nil {
		plain = tls.Client(wire, t.secure)
	}
	if err := exchange(plain); err != nil {
		b.Fatal(err)
	}
	return plain, wire
}

// benchTargets starts the server without and with TLS and, for comparison, a server
// with one goroutine per connection that reads through crypto/tls and responds to
// any request without a framing check or a parser.
func benchTargets(b *testing.B) []benchTarget {
	b.Helper()
	sec := newTLSSetup(b)
	client := &tls.Config{RootCAs: sec.client.RootCAs, ServerName: "entry"}
	handler := handlerFunc(func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("ok")}
	})
	start := func(conf *tls.Config) string {
		s := NewServer(ServerConfig{Address: "127.0.0.1:0", MaxBodyBytes: testMaxBody, Handler: handler, TLS: conf})
		if err := s.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Stop)
		return s.Addr()
	}
	return []benchTarget{
		{"plain", start(nil), nil},
		{"loop", start(sec.server), client},
		{"goroutine", serveBlocking(b, sec.server), client},
	}
}

func serveBlocking(b *testing.B, conf *tls.Config) string {
	b.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", conf)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				request := make([]byte, len(benchRequest))
				for {
					if _, err := io.ReadFull(c, request); err != nil {
						return
					}
					if _, err := io.WriteString(c, benchResponse); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkLatency sends one request to each target in turn and reports latency
// quantiles for each. The caller's encryption is included.
func BenchmarkLatency(b *testing.B) {
	targets := benchTargets(b)
	took := make([][]time.Duration, len(targets))
	conns := make([]net.Conn, len(targets))
	for i, t := range targets {
		conns[i], _ = t.connect(b)
	}
	for b.Loop() {
		for i, c := range conns {
			start := time.Now()
			if err := exchange(c); err != nil {
				b.Fatal(err)
			}
			took[i] = append(took[i], time.Since(start))
		}
	}
	for i, t := range targets {
		slices.Sort(took[i])
		at := func(q float64) float64 {
			return float64(took[i][int(q*float64(len(took[i])-1))].Microseconds())
		}
		b.ReportMetric(at(0.5), t.name+"-p50-µs")
		b.ReportMetric(at(0.99), t.name+"-p99-µs")
	}
}

// BenchmarkHandshakes makes connections with one request each, from as many callers
// as processors; callers and server share the processors.
func BenchmarkHandshakes(b *testing.B) {
	for _, t := range benchTargets(b) {
		b.Run(t.name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c, _ := t.connect(b)
					_ = c.Close()
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "connections/s")
		})
	}
}

// BenchmarkIdleMemory reports the server's memory for an idle connection after one
// request: the callers retain only their sockets.
func BenchmarkIdleMemory(b *testing.B) {
	const connections = 2000
	targets := benchTargets(b)
	for name, bodyBytes := range map[string]int{"small": 0, "16KiB": 16 << 10} {
		for _, t := range targets[:2] {
			b.Run(t.name+"/"+name, func(b *testing.B) { idleMemory(b, t, connections, bodyBytes) })
		}
	}
	b.Run("goroutine/small", func(b *testing.B) { idleMemory(b, targets[2], connections, 0) })
}

func idleMemory(b *testing.B, t benchTarget, connections, bodyBytes int) {
	for b.Loop() {
		wires := make([]net.Conn, connections)
		before := memoryInUse()
		for i := range wires {
			wires[i] = t.warm(b, bodyBytes)
		}
		b.ReportMetric(float64(memoryInUse()-before)/float64(connections), "bytes/connection")
		for _, c := range wires {
			_ = c.Close()
		}
	}
}

// warm makes a connection, sends a request with a body if bodyBytes is not zero, and
// returns the socket.
func (t benchTarget) warm(b *testing.B, bodyBytes int) net.Conn {
	c, wire := t.connect(b)
	if bodyBytes == 0 {
		return wire
	}
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, make([]byte, bodyBytes))
	if _, err := io.WriteString(c, request); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len(benchResponse))); err != nil {
		b.Fatal(err)
	}
	return wire
}

func memoryInUse() int64 {
	for range 3 { // a sync.Pool retains its items for two collections
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkBulkOverTLS sends a body of 1 MiB, which the server echoes.
func BenchmarkBulkOverTLS(b *testing.B) {
	const size = 1 << 20
	sec := newTLSSetup(b)
	s := NewServer(ServerConfig{Address: "127.0.0.1:0", MaxBodyBytes: testMaxBody, TLS: sec.server,
		Handler: handlerFunc(func(_ context.Context, r *Request) *Response { return &Response{Status: 200, Body: r.Body} })})
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Stop)
	c, err := tls.Dial("tcp", s.Addr(), sec.client)
	if err != nil {
		b.Fatal(err)
	}
	request := append([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n"), make([]byte, size)...)
	r := bufio.NewReader(c)
	b.SetBytes(2 * size)
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
			b.Fatal(n, err)
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// behaviour is what an endpoint does with one request.
type behaviour struct {
	work time.Duration
	lost bool // it runs the request, and resets the connection in place of its answer
}

// endpoint is a stand-in of one endpoint, on raw connections.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	w                          *world
	// decide returns what to do with a request.
	decide func() behaviour

	listener net.Listener
	mu       sync.Mutex
	running  int
	conns    map[net.Conn]bool
}

func newEndpoint(w *world, id, service, zone string, slots int, decide func() behaviour) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &endpoint{id: id, service: service, zone: zone, slots: slots, w: w, decide: decide, listener: ln, address: ln.Addr().String(), conns: make(map[net.Conn]bool)}
	go e.accept()
	return e
}

// entry returns its entry in the store.
func (e *endpoint) entry(state string) map[string]any {
	return map[string]any{"address": e.address, "s": e.service, "ver": "v1", "zone": e.zone, "n": e.slots, "st": state, "q": 1, "w": 0}
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(e.running, e.slots), max(e.running-e.slots, 0), e.slots)
}

// serve serves one request at a time on a connection.
func (e *endpoint) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "closed") {
				e.w.note("endpoint %s: malformed bytes: %v", e.id, err)
				if _, ok := err.(*net.OpError); !ok && err != io.ErrUnexpectedEOF {
					e.w.broken("UNASKED", "endpoint %s: bytes that are no request: %v", e.id, err)
				}
			}
			return
		}
		if req.URL.Path == "/health" {
			_, _ = io.Copy(io.Discard, req.Body)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDapplespindle-Instance-Id: %s\r\nDapplespindle-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", e.id, e.load()); err != nil {
				return
			}
			continue
		}
		id := req.Header.Get("Dapplespindle-Request-Id")
		if want := req.Header.Get("Dapplespindle-Expected-Instance"); want != "" && want != e.id {
			_, _ = io.Copy(io.Discard, req.Body)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nDapplespindle-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id); err != nil {
				return
			}
			continue
		}
		b := e.decide()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		e.w.ran(id, req.Method, req.RequestURI, string(body), req.Header.Get("Dapplespindle-Tenant"), e)
		time.Sleep(b.work)
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		text := e.w.answerBody(id, e)
		head := fmt.Sprintf("Dapplespindle-Request-Id: %s\r\nDapplespindle-Response-Signature: sig-%s-%s\r\nDapplespindle-Server-Load: %s\r\n", id, e.id, id, e.load())
		whole := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text))
		if b.lost {
			resetConn(c)
			return
		}
		if _, err := c.Write(whole); err != nil {
			return
		}
	}
}

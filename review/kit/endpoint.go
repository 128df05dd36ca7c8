package kit

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a stand-in of one endpoint. It handles Slots requests at once and queues Queue more;
// whatever does not fit is rejected with Dapplespindle-Not-Executed.
type Endpoint struct {
	// ID is its id, Service the service that it belongs to, and Zone where it runs.
	ID, Service, Zone string
	// Slots is how many requests it handles at once, and Queue how many it queues.
	Slots, Queue int
	// TellsLoad adds Dapplespindle-Server-Load to its answers. Its health path then answers at
	// once; without, a health check waits for a slot, or is rejected, just as a request is.
	TellsLoad bool
	// Work returns how long a request takes.
	Work func() time.Duration
	// ProbeWork is how long a health check holds its slot.
	ProbeWork time.Duration
	// ExtraLate is the share of its answers of which it sends one too many, late: where the next
	// answer on that connection is due.
	ExtraLate float64
	// OnRun is called when it begins to work on a request.
	OnRun func(e *Endpoint, id string)
	// Log receives what it does; nil for none.
	Log *Record

	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	waiting int
	conns   map[net.Conn]bool
	leaving bool
	ended   bool
}

// Start opens its listener on loopback.
func (e *Endpoint) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener, e.slots, e.conns = ln, make(chan struct{}, e.Slots), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			ended := e.ended
			e.mu.Unlock()
			if ended {
				_ = c.Close()
				continue
			}
			go e.serve(c)
		}
	}()
	return nil
}

// Leave makes the endpoint leave: it serves as before, and its health checks are answered with 503.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// health returns the answer to a health check.
func (e *Endpoint) health() []byte {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	status := http.StatusOK
	if leaving {
		status = http.StatusServiceUnavailable
	}
	return response(status, "Dapplespindle-Instance-Id: "+e.ID+"\r\n"+e.load(), "")
}

// End ends the endpoint: it closes its listener and its connections.
func (e *Endpoint) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// Entry returns its entry in the store with a state, ready or draining.
func (e *Endpoint) Entry(state string) map[string]any {
	return map[string]any{
		"s": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone, "ver": "v1", "n": e.Slots, "st": state, "w": 0, "q": 1,
	}
}

// Key returns its key in the store.
func (e *Endpoint) Key() string { return "servers/" + e.ID }

func (e *Endpoint) log(format string, args ...any) {
	if e.Log != nil {
		e.Log.Add(e.ID+" "+format, args...)
	}
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte // an answer too many
	var lateOf string
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		what := "request " + req.Header.Get("Dapplespindle-Request-Id")
		if req.URL.Path == "/health" {
			what = "health check"
		}
		if late != nil {
			e.log("sends one answer too many (to a %s) where that to %s is due", lateOf, what)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		out, kind := e.handle(req, what)
		if _, err := c.Write(out); err != nil {
			e.log("cannot answer %s: %v", what, err)
			return
		}
		if e.ExtraLate > 0 && rand.Float64() < e.ExtraLate {
			late, lateOf = out, kind
		}
	}
}

// handle returns the answer to a request and what it answers.
func (e *Endpoint) handle(req *http.Request, what string) (out []byte, kind string) {
	id := req.Header.Get("Dapplespindle-Request-Id")
	echo := ""
	if id != "" {
		echo = "Dapplespindle-Request-Id: " + id + "\r\n"
	}
	probe := req.URL.Path == "/health"
	expected := req.Header.Get("Dapplespindle-Expected-Instance")
	if !probe && expected != "" && expected != e.ID {
		e.log("answers 421 to %s for %s", what, expected)
		return response(421, echo+"Dapplespindle-Instance-Id: "+e.ID+"\r\n", ""), "misdirected request"
	}
	if probe && e.TellsLoad {
		return e.health(), "health check"
	}
	if !e.enter(deadline(req)) {
		if probe {
			return response(503, "Dapplespindle-Not-Executed: 1\r\n", ""), "rejected health check"
		}
		e.log("rejects %s", what)
		return response(503, echo+"Dapplespindle-Not-Executed: 1\r\n"+e.load(), ""), "rejected request"
	}
	defer func() { <-e.slots }()
	if probe {
		time.Sleep(e.ProbeWork)
		return e.health(), "health check"
	}
	e.log("begins to work on %s", what)
	if e.OnRun != nil {
		e.OnRun(e, id)
	}
	time.Sleep(e.Work())
	e.log("has done %s", what)
	return response(200, echo+"Dapplespindle-Response-Signature: by-"+e.ID+"-for-"+id+"\r\n"+e.load(), "done by "+e.ID+" for "+id), "request"
}

// enter waits for a slot. It returns false if the queue is full or the time is up.
func (e *Endpoint) enter(limit time.Duration) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.Queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	}
}

// load returns the header with its load, if it tells it.
func (e *Endpoint) load() string {
	if !e.TellsLoad {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("Dapplespindle-Server-Load: %d,%d,%d,100\r\n", len(e.slots), e.waiting, e.Slots)
}

// deadline returns how long a request may take.
func deadline(req *http.Request) time.Duration {
	ms, err := strconv.Atoi(req.Header.Get("Dapplespindle-Request-Deadline"))
	if err != nil {
		ms = 1000
	}
	return time.Duration(ms) * time.Millisecond
}

func response(status int, headers, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body))
}

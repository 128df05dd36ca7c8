package httpwire

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatedHandler is a handler whose requests block until the test opens their gate. GET
// requests may run concurrently.
type gatedHandler struct {
	mu        sync.Mutex
	started   map[string]bool
	cancelled map[string]bool // their context ended
	release   map[string]chan struct{}
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{started: make(map[string]bool), cancelled: make(map[string]bool), release: make(map[string]chan struct{})}
}

func (g *gatedHandler) AllowConcurrent(req *Request) bool { return req.Method == http.MethodGet }

func (g *gatedHandler) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.release[path] == nil {
		g.release[path] = make(chan struct{})
	}
	return g.release[path]
}

func (g *gatedHandler) open(path string) { close(g.gate(path)) }

func (g *gatedHandler) Serve(ctx context.Context, req *Request) *Response {
	gate := g.gate(req.Path)
	g.mu.Lock()
	g.started[req.Path] = true
	g.mu.Unlock()
	select {
	case <-gate:
	case <-ctx.Done():
		g.mu.Lock()
		g.cancelled[req.Path] = true
		g.mu.Unlock()
	}
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Path": {req.Path}}}
}

func (g *gatedHandler) count(m map[string]bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(m)
}

// waitFor waits until m holds n requests.
func (g *gatedHandler) waitFor(t *testing.T, m map[string]bool, n int) {
	t.Helper()
	for end := time.Now().Add(testWait); g.count(m) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d requests, want %d", g.count(m), n)
		}
	}
}

func getRequests(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	return b.String()
}

// expectResponses reads the responses to the requests with the numbers in [from, to) and
// checks their order.
func (c *testCaller) expectResponses(t *testing.T, from, to int) (last *http.Response) {
	t.Helper()
	for i := from; i < to; i++ {
		last, _ = c.readResponse(t, "GET")
		if got := last.Header.Get("X-Path"); got != "/"+strconv.Itoa(i) {
			t.Fatalf("got response to %s, want /%d", got, i)
		}
	}
	return last
}

// TestPipelinedRequestsRunConcurrently checks that a caller that sends several requests
// before the first response waits for the slowest of them, not for the sum.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	g := newGatedHandler()
	s := startServer(t, g, nil)
	c := dial(t, s)
	c.send(t, getRequests(0, 3)) // in one write
	c.send(t, getRequests(3, 4)[:10])
	g.waitFor(t, g.started, 3)
	c.send(t, getRequests(3, 4)[10:]+getRequests(4, 5))
	g.waitFor(t, g.started, 5)
	for i := 4; i >= 0; i-- { // the last request completes first
		g.open("/" + strconv.Itoa(i))
	}
	is.True(!c.expectResponses(t, 0, 5).Close)
}

// TestPipelinedRequestsAreBounded checks that at most maxConcurrentPipelined requests run
// concurrently, and that more are started as responses are written.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	g := newGatedHandler()
	c := dial(t, startServer(t, g, nil))
	c.send(t, getRequests(0, 3*maxConcurrentPipelined))
	g.waitFor(t, g.started, maxConcurrentPipelined)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.started), maxConcurrentPipelined)
	for i := range 3 * maxConcurrentPipelined {
		g.open("/" + strconv.Itoa(i))
	}
	c.expectResponses(t, 0, 3*maxConcurrentPipelined)
}

// TestNonRepeatableRequestWaits checks that a non-repeatable request starts only when no
// earlier request is in flight, and that repeatable requests after it run concurrently
// with it.
func TestNonRepeatableRequestWaits(t *testing.T) {
	is := is.New(t)
	g := newGatedHandler()
	c := dial(t, startServer(t, g, nil))
	c.send(t, getRequests(0, 2)+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"+getRequests(3, 5))
	g.waitFor(t, g.started, 2)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.started), 2)
	g.open("/0")
	c.expectResponses(t, 0, 1)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.started), 2)
	g.open("/1")
	g.waitFor(t, g.started, 5)
	for i := 2; i < 5; i++ {
		g.open("/" + strconv.Itoa(i))
	}
	c.expectResponses(t, 1, 5)
}

// TestPlannedStopAnswersWhatRuns checks that a graceful shutdown completes all requests
// that have started, announces the close in the last response only, and starts none of
// the requests that wait.
func TestPlannedStopAnswersWhatRuns(t *testing.T) {
	is := is.New(t)
	g := newGatedHandler()
	s := startServer(t, g, nil)
	c := dial(t, s)
	c.send(t, getRequests(0, 3)+"POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	g.waitFor(t, g.started, 3)
	s.Drain()
	c.send(t, getRequests(4, 5))
	for i := 2; i >= 0; i-- {
		g.open("/" + strconv.Itoa(i))
	}
	is.True(!c.expectResponses(t, 0, 2).Close)
	is.True(c.expectResponses(t, 2, 3).Close)
	is.True(c.atEOF())
	is.Equal(g.count(g.started), 3)
}

func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	g := newGatedHandler()
	c := dial(t, startServer(t, g, nil))
	c.send(t, getRequests(0, 4))
	g.waitFor(t, g.started, 4)
	_ = c.Close()
	g.waitFor(t, g.cancelled, 4)
}

// TestMalformedPipelinedRequestIsRefusedInOrder checks that the responses to the requests
// before a malformed one are sent first.
func TestMalformedPipelinedRequestIsRefusedInOrder(t *testing.T) {
	is := is.New(t)
	g := newGatedHandler()
	c := dial(t, startServer(t, g, nil))
	c.send(t, getRequests(0, 2)+"GET /2 HTTP/9.9\r\n\r\n"+getRequests(3, 4))
	g.waitFor(t, g.started, 2)
	g.open("/1")
	g.open("/0")
	c.expectResponses(t, 0, 2)
	resp, _ := c.readResponse(t, "GET")
	is.True(resp.StatusCode >= 400)
	is.True(c.atEOF())
	is.Equal(g.count(g.started), 2)
}

// TestPipelinedResponsesKeepOrderUnderRandomCompletion randomizes how the requests are
// split into writes and the order in which they complete.
func TestPipelinedResponsesKeepOrderUnderRandomCompletion(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := newGatedHandler()
		c := dial(t, startServer(t, g, nil))
		n := 1 + random.IntN(3*maxConcurrentPipelined)
		go func() {
			for _, i := range random.Perm(n) {
				g.open("/" + strconv.Itoa(i))
			}
		}()
		for text := getRequests(0, n); text != ""; {
			piece := min(1+rand.IntN(200), len(text))
			c.send(t, text[:piece])
			text = text[piece:]
		}
		c.expectResponses(t, 0, n)
	}
}

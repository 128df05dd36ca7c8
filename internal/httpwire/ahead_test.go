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

// gates is a handler whose requests wait until the test lets them go. GET may run
// ahead.
type gates struct {
	mu      sync.Mutex
	began   map[string]bool
	ended   map[string]bool // by the end of their context
	release map[string]chan struct{}
}

func newGates() *gates {
	return &gates{began: make(map[string]bool), ended: make(map[string]bool), release: make(map[string]chan struct{})}
}

func (g *gates) MayRunAhead(req *Request) bool { return req.Method == http.MethodGet }

func (g *gates) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.release[path] == nil {
		g.release[path] = make(chan struct{})
	}
	return g.release[path]
}

func (g *gates) open(path string) { close(g.gate(path)) }

func (g *gates) Serve(ctx context.Context, req *Request) *Response {
	gate := g.gate(req.Path)
	g.mu.Lock()
	g.began[req.Path] = true
	g.mu.Unlock()
	select {
	case <-gate:
	case <-ctx.Done():
		g.mu.Lock()
		g.ended[req.Path] = true
		g.mu.Unlock()
	}
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Path": {req.Path}}}
}

func (g *gates) count(m map[string]bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(m)
}

// waitFor returns when n requests are in m.
func (g *gates) waitFor(t *testing.T, m map[string]bool, n int) {
	t.Helper()
	for end := time.Now().Add(testWait); g.count(m) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests, not %d", g.count(m), n)
		}
	}
}

func gets(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	return b.String()
}

// expectPaths reads answers and requires their order.
func (c *caller) expectPaths(t *testing.T, from, to int) (last *http.Response) {
	t.Helper()
	for i := from; i < to; i++ {
		last, _ = c.answer(t, "GET")
		if got := last.Header.Get("X-Path"); got != "/"+strconv.Itoa(i) {
			t.Fatalf("answer of %s, not /%d", got, i)
		}
	}
	return last
}

// TestPipelinedRequestsRunTogether: a caller that sends several requests before the
// first answer waits for the slowest, not for the sum.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	is := is.New(t)
	g := newGates()
	s := startServer(t, g, nil)
	c := dial(t, s)
	c.send(t, gets(0, 3)) // in one piece
	c.send(t, gets(3, 4)[:10])
	g.waitFor(t, g.began, 3)
	c.send(t, gets(3, 4)[10:]+gets(4, 5))
	g.waitFor(t, g.began, 5)
	for i := 4; i >= 0; i-- { // the last one is ready first
		g.open("/" + strconv.Itoa(i))
	}
	is.True(!c.expectPaths(t, 0, 5).Close)
}

// TestPipelinedRequestsAreBounded, and more are taken up as answers are written.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	g := newGates()
	c := dial(t, startServer(t, g, nil))
	c.send(t, gets(0, 3*maxAhead))
	g.waitFor(t, g.began, maxAhead)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.began), maxAhead)
	for i := range 3 * maxAhead {
		g.open("/" + strconv.Itoa(i))
	}
	c.expectPaths(t, 0, 3*maxAhead)
}

// TestNonRepeatableRequestWaits until nothing before it is in flight, and repeatable
// ones behind it run beside it.
func TestNonRepeatableRequestWaits(t *testing.T) {
	is := is.New(t)
	g := newGates()
	c := dial(t, startServer(t, g, nil))
	c.send(t, gets(0, 2)+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"+gets(3, 5))
	g.waitFor(t, g.began, 2)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.began), 2)
	g.open("/0")
	c.expectPaths(t, 0, 1)
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.count(g.began), 2)
	g.open("/1")
	g.waitFor(t, g.began, 5)
	for i := 2; i < 5; i++ {
		g.open("/" + strconv.Itoa(i))
	}
	c.expectPaths(t, 1, 5)
}

// TestPlannedStopAnswersWhatRuns: no request that has begun is cut off by the close,
// which the last answer says, and what waits behind is not begun.
func TestPlannedStopAnswersWhatRuns(t *testing.T) {
	is := is.New(t)
	g := newGates()
	s := startServer(t, g, nil)
	c := dial(t, s)
	c.send(t, gets(0, 3)+"POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	g.waitFor(t, g.began, 3)
	s.Drain()
	c.send(t, gets(4, 5))
	for i := 2; i >= 0; i-- {
		g.open("/" + strconv.Itoa(i))
	}
	is.True(!c.expectPaths(t, 0, 2).Close)
	is.True(c.expectPaths(t, 2, 3).Close)
	is.True(c.atEnd())
	is.Equal(g.count(g.began), 3)
}

// TestCallerThatLeavesEndsAllItsRequests.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	g := newGates()
	c := dial(t, startServer(t, g, nil))
	c.send(t, gets(0, 4))
	g.waitFor(t, g.began, 4)
	_ = c.Close()
	g.waitFor(t, g.ended, 4)
}

// TestWhatIsNoRequestIsRefusedInItsTurn: the answers to those before it come first.
func TestWhatIsNoRequestIsRefusedInItsTurn(t *testing.T) {
	is := is.New(t)
	g := newGates()
	c := dial(t, startServer(t, g, nil))
	c.send(t, gets(0, 2)+"GET /2 HTTP/9.9\r\n\r\n"+gets(3, 4))
	g.waitFor(t, g.began, 2)
	g.open("/1")
	g.open("/0")
	c.expectPaths(t, 0, 2)
	resp, _ := c.answer(t, "GET")
	is.True(resp.StatusCode >= 400)
	is.True(c.atEnd())
	is.Equal(g.count(g.began), 2)
}

// TestPipelinedAnswersKeepOrderWhateverEndsFirst draws pieces and the order in which
// requests end.
func TestPipelinedAnswersKeepOrderWhateverEndsFirst(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := newGates()
		c := dial(t, startServer(t, g, nil))
		n := 1 + random.IntN(3*maxAhead)
		go func() {
			for _, i := range random.Perm(n) {
				g.open("/" + strconv.Itoa(i))
			}
		}()
		for text := gets(0, n); text != ""; {
			piece := min(1+rand.IntN(200), len(text))
			c.send(t, text[:piece])
			text = text[piece:]
		}
		c.expectPaths(t, 0, n)
	}
}

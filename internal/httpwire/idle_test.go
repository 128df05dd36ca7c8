package httpwire

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitForConn waits until the server has a connection and returns it.
func waitForConn(t *testing.T, s *Server) *serverConn {
	t.Helper()
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for c := range s.conns {
			s.mu.Unlock()
			return c
		}
		s.mu.Unlock()
	}
	t.Fatal("no connection")
	return nil
}

// expireTimer makes the connection's timeout expire now.
func expireTimer(c *serverConn) {
	c.mu.Lock()
	c.timer.deadline = time.Now()
	c.mu.Unlock()
	c.onTimer()
}

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestNothingIsServedAfterTheIdleClose checks that a request which the kernel delivers
// after the close of an idle connection is not served: its caller can't get a response.
func TestNothingIsServedAfterTheIdleClose(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	dial(t, s)
	c := waitForConn(t, s)
	expireTimer(c)
	started, _ := c.onData([]byte(getRequest))
	is.True(!started)
	time.Sleep(20 * time.Millisecond)
	is.Equal(served.Load(), int64(0))
}

// TestRequestThatWaitsIsServed checks that an idle connection is not closed while the
// kernel holds an unread request. A process that lags can see the request and the expired
// timeout at the same time.
func TestRequestThatWaitsIsServed(t *testing.T) {
	for name, end := range map[string]func(*serverConn){
		"idle timeout":      expireTimer,
		"graceful shutdown": func(c *serverConn) { c.closeIfIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			s := startServer(t, echo(&served), nil)
			caller := dial(t, s)
			c := waitForConn(t, s)
			release := stall(t, s)
			_, err := caller.Write([]byte(getRequest))
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond) // until the kernel has received it
			end(c)
			release()
			resp, _ := caller.readResponse(t, "GET")
			is.Equal(resp.StatusCode, 200)
			is.Equal(served.Load(), int64(1))
		})
	}
}

// stall blocks the event loops: each waits for the lock of a connection, which the
// test holds. Calling release unblocks them.
func stall(t *testing.T, s *Server) (release func()) {
	t.Helper()
	s.mu.Lock()
	before := len(s.conns)
	s.mu.Unlock()
	const enough = 64 // to cover every loop: connections are assigned by file descriptor
	var callers []*testCaller
	for range enough {
		callers = append(callers, dial(t, s))
	}
	var locked []*serverConn
	for end := time.Now().Add(testWait); s.Connections() < before+enough; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d connections, want %d", s.Connections(), before+enough)
		}
	}
	remote := make(map[string]bool)
	for _, caller := range callers {
		remote[caller.LocalAddr().String()] = true
	}
	s.mu.Lock()
	for c := range s.conns {
		if remote[c.remote] {
			locked = append(locked, c)
		}
	}
	s.mu.Unlock()
	for _, c := range locked {
		c.mu.Lock()
	}
	for _, caller := range callers {
		if _, err := caller.Write([]byte("G")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20 * time.Millisecond) // until each loop waits for one of the locks
	return func() {
		for _, c := range locked {
			c.mu.Unlock()
		}
	}
}

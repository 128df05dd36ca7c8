package httpwire

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// only returns the server's only connection, once it has one.
func only(t *testing.T, s *Server) *serverConn {
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

// alarmNow lets the connection's timeout pass now.
func alarmNow(c *serverConn) {
	c.mu.Lock()
	c.alarm.at = time.Now()
	c.mu.Unlock()
	c.onAlarm()
}

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestNothingIsServedAfterTheIdleClose: the kernel still hands over a request that
// came before the close of an idle connection, whose caller gets no answer.
func TestNothingIsServedAfterTheIdleClose(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := startServer(t, echo(&served), nil)
	dial(t, s)
	c := only(t, s)
	alarmNow(c)
	began, _ := c.take([]byte(getRequest))
	is.True(!began)
	time.Sleep(20 * time.Millisecond)
	is.Equal(served.Load(), int64(0))
}

// TestRequestThatWaitsIsServed: a process that lags finds the request and the
// passed timeout of an idle connection at the same time.
func TestRequestThatWaitsIsServed(t *testing.T) {
	for name, end := range map[string]func(*serverConn){
		"idle for long": alarmNow,
		"planned stop":  func(c *serverConn) { c.closeIfIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			s := startServer(t, echo(&served), nil)
			caller := dial(t, s)
			c := only(t, s)
			release := stall(t, s)
			_, err := caller.Write([]byte(getRequest))
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond) // until the kernel has it
			end(c)
			release()
			resp, _ := caller.answer(t, "GET")
			is.Equal(resp.StatusCode, 200)
			is.Equal(served.Load(), int64(1))
		})
	}
}

// stall keeps the event loops busy: each waits for a connection that this test
// holds. The result lets them go on.
func stall(t *testing.T, s *Server) (release func()) {
	t.Helper()
	s.mu.Lock()
	before := len(s.conns)
	s.mu.Unlock()
	const enough = 64 // connections are dealt to the loops by their descriptors
	var held []*caller
	for range enough {
		held = append(held, dial(t, s))
	}
	var locked []*serverConn
	for end := time.Now().Add(testWait); s.Connections() < before+enough; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections are missing")
		}
	}
	remote := make(map[string]bool)
	for _, h := range held {
		remote[h.LocalAddr().String()] = true
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
	for _, h := range held {
		if _, err := h.Write([]byte("G")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(20 * time.Millisecond) // until each loop waits for one of them
	return func() {
		for _, c := range locked {
			c.mu.Unlock()
		}
	}
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// callerConn is one connection of a client.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func dialHost(h *host) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReaderSize(c, 32<<10)}, nil
}

// encode returns the bytes of a request, with further header lines.
func (r *sentRequest) encode(deadlineMs int, lines ...string) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nDapplespindle-Request-Id: %s\r\nDapplespindle-Request-Deadline: %d\r\n", r.method, r.target, r.host, r.id, deadlineMs)
	if r.key != "" {
		fmt.Fprintf(&out, "Dapplespindle-Key: %s\r\n", r.key)
	}
	for _, line := range lines {
		out.WriteString(line + "\r\n")
	}
	if r.body != "" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.body))
	}
	out.WriteString("\r\n" + r.body)
	return []byte(out.String())
}

// readAnswer reads the answer to r and checks it. It reports whether the connection may be used again.
func (w *world) readAnswer(c *callerConn, r *sentRequest, deadline time.Time) (status int, keep bool, err error) {
	_ = c.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			w.ended(r, "no answer in time", false)
			return 0, false, err
		}
		if strings.Contains(err.Error(), "malformed") {
			w.broken("MIXED", "%s: bytes that are no answer: %v", r.id, err)
		}
		w.ended(r, "closed", false)
		return 0, false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		w.ended(r, "cut answer", false)
		return 0, false, err
	}
	sig := resp.Header.Get("Dapplespindle-Response-Signature")
	if echo := resp.Header.Get("Dapplespindle-Request-Id"); echo != "" && echo != r.id {
		w.broken("MIXED", "%s got an answer to %s (status %d)", r.id, echo, resp.StatusCode)
	}
	promised := resp.StatusCode == 408 || resp.StatusCode == 421 || resp.StatusCode == 429 || resp.StatusCode == 503
	if resp.StatusCode < 300 {
		w.mu.Lock()
		whole := false
		for i, by := range r.runs {
			if sig == "sig-"+by+"-"+r.id && string(body) == w.answerBody(r.id, r.runBy[i]) {
				whole = true
			}
		}
		if !whole {
			w.breakLocked("MIXED", "%s got %d with signature %q and %d bytes, run by %v", r.id, resp.StatusCode, sig, len(body), r.runs)
		}
		w.mu.Unlock()
	}
	w.ended(r, fmt.Sprint(resp.StatusCode), promised)
	return resp.StatusCode, !resp.Close, nil
}

// exchange sends a request on a connection and reads its answer. It reports whether the connection may be
// used again.
func (w *world) exchange(c *callerConn, r *sentRequest, deadlineMs int, lines ...string) bool {
	deadline := time.Now().Add(time.Duration(deadlineMs)*time.Millisecond + time.Second)
	_ = c.SetWriteDeadline(deadline)
	if _, err := c.Write(r.encode(deadlineMs, lines...)); err != nil {
		w.ended(r, "closed", false)
		return false
	}
	_, keep, err := w.readAnswer(c, r, deadline)
	return err == nil && keep
}

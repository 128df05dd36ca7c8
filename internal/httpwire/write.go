package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
)

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxCoalescedBody is the largest body that is copied after its head, so that both
// are written in one system call, in bytes.
const maxCoalescedBody = 32 << 10

func newBuffer() *bytes.Buffer {
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	return buf
}

func releaseBuffer(buf *bytes.Buffer) { bufferPool.Put(buf) }

// encodeResponse returns a buffer with the head of resp, followed by the body if it
// is small. A large body is returned separately.
func encodeResponse(req *Request, resp *Response) (*bytes.Buffer, []byte) {
	buf := newBuffer()
	buf.WriteString("HTTP/1.1 ")
	buf.Write(strconv.AppendInt(buf.AvailableBuffer(), int64(resp.Status), 10))
	buf.WriteByte(' ')
	buf.WriteString(http.StatusText(resp.Status))
	buf.WriteString("\r\n")
	writeHeader(buf, resp.Header)
	switch {
	case !req.keepAlive:
		buf.WriteString("Connection: close\r\n")
	case req.minor == 0:
		buf.WriteString("Connection: keep-alive\r\n")
	}
	if resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		buf.WriteString("\r\n")
		return buf, nil
	}
	if req.Method == http.MethodHead {
		writeLength(buf, resp.ContentLength)
		buf.WriteString("\r\n")
		return buf, nil
	}
	writeLength(buf, int64(len(resp.Body)))
	buf.WriteString("\r\n")
	return buf, appendSmallBody(buf, resp.Body)
}

// appendSmallBody appends body to buf if it is small, and returns it otherwise.
func appendSmallBody(buf *bytes.Buffer, body []byte) []byte {
	if len(body) > maxCoalescedBody {
		return body
	}
	buf.Write(body)
	return nil
}

func writeLength(buf *bytes.Buffer, length int64) {
	if length < 0 {
		return
	}
	buf.WriteString("Content-Length: ")
	buf.Write(strconv.AppendInt(buf.AvailableBuffer(), length, 10))
	buf.WriteString("\r\n")
}

// WriteRequest writes req to an upstream connection, without hop-by-hop headers. It
// returns the size of the head in bytes, also when it fails.
func WriteRequest(w io.Writer, req *Request) (int, error) {
	buf := newBuffer()
	defer releaseBuffer(buf)
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	writeHeader(buf, req.Header)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		writeLength(buf, int64(len(req.Body)))
	}
	buf.WriteString("\r\n")
	head := buf.Len()
	rest := appendSmallBody(buf, req.Body)
	if _, err := w.Write(buf.Bytes()); err != nil || len(rest) == 0 {
		return head, err
	}
	_, err := w.Write(rest)
	return head, err
}

// writeHeader writes h without the headers that the connection sets itself. Values
// that contain a line break are left out, since they would inject further headers.
func writeHeader(buf *bytes.Buffer, h http.Header) {
	for key, values := range h {
		switch key {
		case "Connection", "Content-Length", "Host", "Transfer-Encoding", "Keep-Alive", "Trailer":
			continue
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n") {
				continue
			}
			buf.WriteString(key)
			buf.WriteString(": ")
			buf.WriteString(v)
			buf.WriteString("\r\n")
		}
	}
}

// writeResponse writes resp and waits until the kernel has accepted all of it.
func (c *serverConn) writeResponse(req *Request, resp *Response) error {
	head, body := encodeResponse(req, resp)
	defer releaseBuffer(head)
	if err := c.write(head.Bytes()); err != nil {
		return err
	}
	if err := c.write(body); err != nil {
		return err
	}
	return c.flush()
}

// write sends or queues b, encrypted if the connection uses TLS. Each buffer is
// written by a separate call because the library's vectored write loses bytes on a
// partial write: it queues only the buffer that was cut.
func (c *serverConn) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if c.tls != nil {
		return c.tls.Write(b)
	}
	return c.writeRaw(b)
}

// writeRaw sends or queues b as it is.
func (c *serverConn) writeRaw(b []byte) error {
	queued := c.unwritten.Add(int64(len(b))) != int64(len(b))
	return socket.Write(c.conn, b, queued, c)
}

// BytesWritten implements socket.WriteObserver.
func (c *serverConn) BytesWritten(n int) {
	if c.unwritten.Add(int64(-n)) != 0 {
		return
	}
	select {
	case c.drained <- struct{}{}:
	default:
	}
}

var errWriteTimeout = errors.New("response not written within the write timeout")

// flush waits until the kernel has accepted every byte; a close before that would
// truncate the response.
func (c *serverConn) flush() error {
	if c.unwritten.Load() == 0 {
		return nil
	}
	timer := time.NewTimer(c.server.conf.WriteTimeout)
	defer timer.Stop()
	for c.unwritten.Load() != 0 {
		select {
		case <-c.drained:
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-timer.C:
			return errWriteTimeout
		}
	}
	return nil
}

package httpwire

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

const interimContinue = "HTTP/1.1 100 Continue\r\n\r\n"

// receive appends data to the message being received, and dispatches the message when
// it is complete. If owned is true, receive takes ownership of data; otherwise it
// copies what it retains.
func (c *serverConn) receive(data []byte, owned bool) {
	if len(c.buf) > 0 {
		c.buf = append(c.buf, data...)
		data = c.buf
		owned = true
	}
	done, err := c.scanner.Scan(data)
	if err != nil {
		c.refuse(refusal(err))
		return
	}
	if done {
		c.dispatch(data, owned)
		return
	}
	if !owned {
		data = bytes.Clone(data)
	}
	c.buf = data
	c.updateBuffered()
	if err := c.checkMemory(); err != nil {
		c.refuse(err)
		return
	}
	c.updateTimeout()
}

// updateTimeout sets the timeout for the part of the message that is missing.
func (c *serverConn) updateTimeout() {
	conf := &c.server.conf
	switch {
	case !c.scanner.HeadDone() && c.state == connIdle:
		c.state = connHead
		c.timer.set(clock.Now(), c.server.limits.Load().HeadTimeout, c.onTimer)
	case c.scanner.HeadDone() && c.state != connBody:
		c.state = connBody
		c.timer.set(clock.Now(), conf.BodyTimeout, c.onTimer)
		c.sendContinue()
	}
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends its
// body. Nothing else is being written then: earlier responses are complete.
func (c *serverConn) sendContinue() {
	head := c.scanner.Head()
	if !head.ExpectContinue || len(c.buf) > head.Bytes {
		return
	}
	_ = c.write([]byte(interimContinue))
}

// dispatch parses the complete message at the start of data and starts to serve it.
// Bytes after the message are buffered as pipelined.
func (c *serverConn) dispatch(data []byte, owned bool) {
	c.state = connServing
	c.timer.clear()
	end := c.scanner.End()
	c.buf = nil
	c.updateBuffered()
	if rest := data[end:]; len(rest) > 0 {
		c.bufferPipelined(rest)
	}
	req, err := c.parse(data[:end:end], owned)
	if err != nil {
		c.refuse(errkind.Wrap(errkind.BadRequest, err, "request"))
		return
	}
	c.scanner.ResetRequest(c.server.limits.Load().framing())
	c.startRequest(req)
	c.startPipelined()
}

var errNotOneMessage = errors.New("not exactly one message")

// parse gives the library's parser one complete message. The body of the request
// shares the memory of message if owned is true.
func (c *serverConn) parse(message []byte, owned bool) (*Request, error) {
	b := &c.builder
	*b = requestBuilder{req: newRequest(), owned: owned}
	defer func() { *b = requestBuilder{} }()
	if !owned && c.scanner.BodyBytes() > 0 {
		b.req.Body = make([]byte, 0, c.scanner.BodyBytes())
	}
	if err := c.scanner.Feed(message, c.parser.Parse); err != nil {
		return nil, err
	}
	req := b.req
	if b.complete != 1 || len(req.Body) != c.scanner.BodyBytes() {
		return nil, errNotOneMessage
	}
	req.Received = clock.Now()
	req.RemoteAddr = c.remote
	req.keepAlive = c.scanner.Head().Persistent()
	return req, nil
}

// refusal maps a framing error to the error that the caller gets.
func refusal(err *framing.Error) *errkind.Error {
	switch err.Fault {
	case framing.HeadTooLarge:
		return errkind.New(errkind.HeaderTooLarge, err.Detail)
	case framing.BodyTooLarge:
		return errkind.New(errkind.BodyTooLarge, err.Detail)
	default:
		return errkind.New(errkind.BadRequest, err.Detail)
	}
}

// refuse responds to the message being received and closes the connection: the end of
// the message is unknown, so later bytes can't be interpreted.
//
// The memory of the message is released first: a request that follows the response must
// not be refused on its account.
func (c *serverConn) refuse(err *errkind.Error) {
	c.buf = nil
	c.updateBuffered()
	resp := c.server.conf.Refuse(c.remote, err)
	head, body := encodeResponse(&Request{minor: 1}, resp)
	defer releaseBuffer(head)
	_ = c.write(head.Bytes())
	_ = c.write(body)
	c.linger()
}

const (
	// lingerTimeout and lingerBytes bound how long bytes from the caller are read and
	// discarded. Closing at once could cause a reset that destroys the last response.
	lingerTimeout = 2 * time.Second
	lingerBytes   = 64 << 20
)

// linger shuts down the sending side of the connection and discards what the caller
// still sends, until the caller closes as well or a bound is reached.
func (c *serverConn) linger() {
	c.state = connClosing
	c.buf = nil
	c.pipelined = nil
	c.pending = nil
	c.updateBuffered()
	if c.tls != nil {
		c.tls.CloseWrite()
	}
	socket.ShutdownWrite(c.conn)
	c.timer.set(clock.Now(), lingerTimeout, c.onTimer)
}

var errLingerLimit = errors.New("too many bytes received after the last response")

func (c *serverConn) discard(n int) error {
	c.discarded += n
	if c.discarded > lingerBytes {
		return errLingerLimit
	}
	return nil
}

// onTimer is called when a timeout may have expired.
func (c *serverConn) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timer.expired(clock.Now()) {
		return
	}
	switch c.state {
	case connHead:
		c.refuse(errkind.New(errkind.RequestTimeout, "head not complete in time"))
	case connBody:
		c.refuse(errkind.New(errkind.RequestTimeout, "body not complete in time"))
	case connIdle:
		c.onIdleTimeout()
	case connClosing, connHandshake:
		socket.Shutdown(c.conn)
	}
}

// unreadRetryInterval is how long the event loop has to read what the kernel already
// holds before an idle connection is checked again. On a small host that applies a
// large configuration, the event loops lag by about 150 ms.
const unreadRetryInterval = 50 * time.Millisecond

// onIdleTimeout closes an idle connection, unless a request has arrived that the event
// loop has not read yet; that request is served. The state changes together with the
// close: the kernel still delivers bytes received before, and a request read from
// them must not be forwarded, since its caller can't get a response.
func (c *serverConn) onIdleTimeout() {
	if !socket.NoUnreadData(c.conn) {
		c.timer.set(clock.Now(), unreadRetryInterval, c.onTimer)
		return
	}
	c.state = connClosing
	socket.Shutdown(c.conn)
}

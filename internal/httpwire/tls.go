package httpwire

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// startHandshake puts TLS in front of the connection's message handling. It is
// called with mu held, before the first byte arrives.
func (c *serverConn) startHandshake() {
	c.state = connHandshake
	c.tls = socket.NewServerTLS(c.server.conf.TLS, c.conn.RemoteAddr(), c.writeRaw, c.onPlaintext)
	c.timer.set(clock.Now(), c.server.conf.HandshakeTimeout, c.onTimer)
}

// onHandshake is called when the handshake ends, and again if the bytes that follow
// it end the connection. It reports whether the connection stays open.
func (c *serverConn) onHandshake(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.handshakeDone {
		c.reportHandshakeFailure(err)
	}
	switch {
	case c.state == connClosing || c.state == connClosed:
		return false // closed by the timeout, a shutdown or the caller
	case c.state != connHandshake:
		socket.Shutdown(c.conn)
		return false
	case err != nil:
		c.refuseHandshake(err)
		return false
	}
	c.state = connIdle
	c.handshakeDone = true
	c.awaitRequest()
	return true
}

// reportHandshakeFailure reports a failed handshake, whichever side ended it.
func (c *serverConn) reportHandshakeFailure(err error) {
	if f := c.server.conf.OnHandshakeFailed; f != nil {
		f(c.remote, err)
	}
}

// refuseHandshake closes the connection after a failed handshake, whose alert has
// already been sent. A caller that speaks plain HTTP gets an HTTP response.
func (c *serverConn) refuseHandshake(err error) {
	if isPlainHTTP(err) {
		resp := c.server.conf.Refuse(c.remote, errkind.New(errkind.BadRequest, "plain HTTP on a port for TLS"))
		head, body := encodeResponse(&Request{minor: 1}, resp)
		defer releaseBuffer(head)
		_ = c.writeRaw(head.Bytes())
		if len(body) > 0 {
			_ = c.writeRaw(body)
		}
	}
	c.linger()
}

// isPlainHTTP reports whether the handshake failed because the caller sent an HTTP
// request line instead of a TLS record.
func isPlainHTTP(err error) bool {
	var header tls.RecordHeaderError
	if !errors.As(err, &header) {
		return false
	}
	switch string(header.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	}
	return false
}

package httpwire

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// awaitHandshake puts TLS in front of the guard. It is called under mu, before
// the first byte.
func (c *serverConn) awaitHandshake() {
	c.state = connShaking
	c.tls = socket.NewServerTLS(c.server.conf.TLS, c.conn.RemoteAddr(), c.writeRaw, c.plain)
	c.alarm.set(clock.Now(), c.server.conf.HandshakeTimeout, c.onAlarm)
}

// shaken is called at the end of the handshake, and once more when the bytes
// behind it end the connection. It reports whether the connection goes on.
func (c *serverConn) shaken(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.secured {
		c.reportHandshake(err)
	}
	switch {
	case c.state == connClosing || c.state == connClosed:
		return false // closed by the timeout, a stop or the caller
	case c.state != connShaking:
		socket.End(c.conn)
		return false
	case err != nil:
		c.refuseHandshake(err)
		return false
	}
	c.state = connIdle
	c.secured = true
	c.rest()
	return true
}

// reportHandshake tells of a failed handshake, whoever ended it.
func (c *serverConn) reportHandshake(err error) {
	if f := c.server.conf.OnHandshakeFailed; f != nil {
		f(c.remote, err)
	}
}

// refuseHandshake closes after a failed handshake, whose alert is sent. A
// caller that speaks plain HTTP gets a readable answer.
func (c *serverConn) refuseHandshake(err error) {
	if speaksHTTP(err) {
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

// speaksHTTP reports whether the first bytes were a request line.
func speaksHTTP(err error) bool {
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

// Package httpwire carries HTTP/1.1 messages between the wire and the proxy.
// The parser and the event loop are nbhttp's; this package owns what is ours:
// message types, one request in flight per connection, and strict framing.
package httpwire

import (
	"net/http"
	"time"
)

// Request is a complete request as received from a caller.
type Request struct {
	// Method is the HTTP method in upper case.
	Method string
	// Target is the request target exactly as received.
	Target string
	// Path is the decoded path of Target.
	Path string
	// Host is the Host header.
	Host string
	// Header holds the remaining headers in canonical form.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// RemoteAddr is the caller's address.
	RemoteAddr string
	// Received is when the last byte of the request arrived.
	Received time.Time

	minor     int
	keepAlive bool
}

// Response is a complete answer.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers in canonical form.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// ContentLength is the length that a HEAD answer declares, in bytes; -1 if it declares none.
	ContentLength int64
}

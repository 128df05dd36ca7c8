// Package httpwire carries HTTP/1.x messages between the wire and the proxy.
//
// The event loop and the parser are nbhttp's. In front of the parser stands a
// guard: it frames each message strictly (package framing), shows the parser
// one whole message at a time, and holds back pipelined bytes until the answer
// is written, or lets requests that may run twice run beside those before them.
// Answers keep the order of their requests.
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
	// Host is the Host header; empty if an HTTP/1.0 caller sent none.
	Host string
	// Header holds the remaining headers in canonical form.
	Header http.Header
	// Body is the whole body. It must not be changed.
	Body []byte
	// RemoteAddr is the caller's address.
	RemoteAddr string
	// Received is when the last byte of the request arrived.
	Received time.Time
	// Once is true for a request that must not be sent again after it may have
	// arrived: it goes over a connection that is surely alive.
	Once bool

	minor     int
	keepAlive bool
	// turn is closed when the answers before this one are written; nil if there are
	// none. Answered is closed when this one's is; nil if nothing waits for it.
	turn     <-chan struct{}
	answered chan struct{}
}

// Response is a complete answer.
type Response struct {
	// Status is the HTTP status code, 200 to 599.
	Status int
	// Header holds the headers in canonical form.
	Header http.Header
	// Body is the whole body. It must not be changed.
	Body []byte
	// ContentLength is the length that a HEAD answer declares, in bytes; -1 if it declares none.
	ContentLength int64
}

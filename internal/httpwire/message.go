// Package httpwire implements the HTTP/1.x server that faces callers, and the
// encoding of requests to upstreams.
//
// The event loop and the parser come from nbhttp. Each connection checks the
// framing of a message strictly (package framing) before the parser sees it,
// and gives the parser one complete message at a time. Pipelined bytes are
// buffered until the current response is written, except that requests which
// may run twice can be served concurrently with those before them. Responses
// are always written in the order of their requests.
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
	// Body is the complete body. It must not be modified.
	Body []byte
	// RemoteAddr is the caller's address.
	RemoteAddr string
	// Received is when the last byte of the request arrived.
	Received time.Time
	// NonRepeatable is true for a request that must not be resent once it may have
	// reached an upstream. It is only sent on a connection known to be alive.
	NonRepeatable bool
	// LoadQuery is true for a query of an upstream's load, whose response is about no caller's
	// request.
	LoadQuery bool

	minor     int
	keepAlive bool
	// previousWritten is closed when the response to the preceding request has been
	// written; nil if there is none. written is closed when the response to this
	// request has been written; nil if nothing waits for it.
	previousWritten <-chan struct{}
	written         chan struct{}
}

// Response is a complete response.
type Response struct {
	// Status is the HTTP status code, 200 to 599.
	Status int
	// Header holds the headers in canonical form.
	Header http.Header
	// Body is the complete body. It must not be modified.
	Body []byte
	// ContentLength is the length that a response to HEAD declares, in bytes; -1 if it declares none.
	ContentLength int64
	// Doubtful is set on a refusal that names no request and may be that of an earlier one on its
	// connection.
	Doubtful bool
	// Via names the connection to another entry host that relayed the request to its upstream;
	// empty without one. It is not sent.
	Via string
}

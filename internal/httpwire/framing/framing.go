// Package framing decides where an HTTP/1.x message ends, and refuses every
// message on whose end two readers could disagree.
//
// It does no I/O and keeps no bytes: the caller collects them and asks a
// Scanner, which remembers how far it has looked. A message that the Scanner
// passes is then given to the HTTP library's parser whole, by Feed.
package framing

// Limits bounds one message.
type Limits struct {
	// HeadBytes bounds the start line and the headers, in bytes.
	HeadBytes int
	// BodyBytes bounds the decoded body, in bytes.
	BodyBytes int
}

// chunkedOverhead bounds the encoded size of a chunked body, as a multiple of
// Limits.BodyBytes, so that one-byte chunks cannot multiply the memory held.
const chunkedOverhead = 2

// MessageBytes returns a size that no message within the limits exceeds, in
// bytes: its head, its body in chunks, and trailers.
func (l Limits) MessageBytes() int {
	return 2*l.HeadBytes + chunkedOverhead*l.BodyBytes + 2*maxChunkLine
}

// Fault says which rule a message broke.
type Fault uint8

// The faults.
const (
	// Malformed is a message that breaks the syntax or the framing rules.
	Malformed Fault = iota + 1
	// HeadTooLarge is a head over Limits.HeadBytes.
	HeadTooLarge
	// BodyTooLarge is a body over Limits.BodyBytes, declared or received.
	BodyTooLarge
)

// Error is a refused message.
type Error struct {
	// Fault is the rule that was broken.
	Fault Fault
	// Detail names the place, for logs and for the caller.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Detail }

func malformed(detail string) *Error { return &Error{Fault: Malformed, Detail: detail} }

// Head is what the head of a message says about its framing.
type Head struct {
	// Minor is the minor version, 0 or 1.
	Minor int
	// Status is the status code of a response.
	Status int
	// Bytes is the size of the head with its empty line.
	Bytes int
	// ContentLength is the declared length in bytes, or -1.
	ContentLength int64
	// Chunked is true when the body is chunked.
	Chunked bool
	// UntilClose is true when the body of an answer ends with the connection.
	UntilClose bool
	// KeepAliveFor is the idle time that the other side announces, in seconds; 0
	// if it announces none.
	KeepAliveFor int
	// Close and KeepAlive are the options of the Connection header.
	Close, KeepAlive bool
	// ExpectContinue is true when the sender waits for 100 Continue.
	ExpectContinue bool

	hosts int
}

// Persistent reports whether the connection may carry another message.
func (h *Head) Persistent() bool {
	if h.UntilClose {
		return false
	}
	if h.Minor == 0 {
		return h.KeepAlive && !h.Close
	}
	return !h.Close
}

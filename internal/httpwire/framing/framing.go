// Package framing finds the end of HTTP/1.x messages, and refuses every message
// whose end two implementations could see in different places, to prevent request
// smuggling.
//
// It does no I/O and stores no message bytes: the calling code buffers them and
// passes the buffer to a Scanner, which remembers how far it has examined it. Feed
// then gives a message that the Scanner accepts to the HTTP library's parser.
package framing

// Limits bounds the size of a message.
type Limits struct {
	// HeadBytes bounds the start line and the headers, in bytes.
	HeadBytes int
	// BodyBytes bounds the decoded body, in bytes.
	BodyBytes int
}

// chunkedOverhead bounds the encoded size of a chunked body, as a multiple of
// Limits.BodyBytes. Without it, one-byte chunks could use a multiple of that memory.
const chunkedOverhead = 2

// MaxMessageBytes returns an upper bound for the encoded size of a message within the
// limits, in bytes: head, chunked body and trailers.
func (l Limits) MaxMessageBytes() int {
	return 2*l.HeadBytes + chunkedOverhead*l.BodyBytes + 2*maxChunkLine
}

// Fault is the kind of rule that a message violates.
type Fault uint8

const (
	// Malformed is a message that breaks the syntax or the framing rules.
	Malformed Fault = iota + 1
	// HeadTooLarge is a head over Limits.HeadBytes.
	HeadTooLarge
	// BodyTooLarge is a body over Limits.BodyBytes, declared or received.
	BodyTooLarge
)

// Error describes why a message is refused.
type Error struct {
	// Fault is the rule that is violated.
	Fault Fault
	// Detail describes the violation, for logs and for the caller.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Detail }

func malformed(detail string) *Error { return &Error{Fault: Malformed, Detail: detail} }

// Head holds what the head of a message declares about its framing.
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
	// UntilClose is true when the body of a response ends with the connection.
	UntilClose bool
	// KeepAliveSeconds is the idle timeout that the peer announces in Keep-Alive, in
	// seconds; 0 if it announces none.
	KeepAliveSeconds int
	// Close and KeepAlive are the options of the Connection header.
	Close, KeepAlive bool
	// ExpectContinue is true when the sender waits for 100 Continue.
	ExpectContinue bool

	hostCount int
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

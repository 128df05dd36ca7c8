package atmostonce

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf covers only what the caller determines: method, target and body. It
// excludes the service and the routing rule: they may change between two arrivals
// of the same request, and the second would be mistaken for another request.
func DigestOf(method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // never fails
		_, _ = h.Write(part)
	}
	return Digest(h.Sum(nil))
}

// Answer is the complete response of an upstream.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields, with canonical names. It must not be modified.
	Header map[string][]string
	// Body is the complete body. It must not be modified.
	Body []byte
}

// size estimates the memory that storing the response takes, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for k, values := range a.Header {
		n += len(k) + headerOverhead
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// headerOverhead is the estimated memory of one header field, in bytes, excluding
// its name and values.
const headerOverhead = 64

// Result is the known result of the request of one ticket.
type Result struct {
	// Kind is the error kind, which determines the outcome; None if the request ran.
	Kind errkind.Kind
	// Detail describes the error for logs and for the caller.
	Detail string
	// Answer is the response of the upstream when Kind is None.
	Answer *Answer
}

// Ran returns the result of a request that ran.
func Ran(a *Answer) Result { return Result{Answer: a} }

// Failed returns the result of a request that ended with an error.
func Failed(err *errkind.Error) Result { return Result{Kind: err.Kind, Detail: err.Detail} }

// Outcome reports whether the request ran, did not run, or may have run.
func (r Result) Outcome() errkind.Outcome { return r.Kind.Answer().Outcome }

func errorResult(k errkind.Kind, detail string) Result { return Result{Kind: k, Detail: detail} }

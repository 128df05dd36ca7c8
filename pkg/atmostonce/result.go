package atmostonce

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf covers what the caller alone decides: method, target and body. It
// leaves out the service and the rule, which may change between two asks for
// the same request: a second ask would then be taken for another request.
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

// Answer is an upstream's whole answer.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the headers in canonical form. It must not be changed.
	Header map[string][]string
	// Body is the whole body. It must not be changed.
	Body []byte
}

// size estimates the memory that keeping the answer takes, in bytes.
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

// headerOverhead is the estimated memory of one header field beside its text, in bytes.
const headerOverhead = 64

// Result is what is known about one ticket's request.
type Result struct {
	// Kind is the error kind, whose table entry fixes the outcome; None if the request ran.
	Kind errkind.Kind
	// Detail is the error's detail for logs.
	Detail string
	// Answer is the upstream's answer when Kind is None.
	Answer *Answer
}

// Ran returns the result of a request that ran.
func Ran(a *Answer) Result { return Result{Answer: a} }

// Failed returns the result of a request with an error.
func Failed(err *errkind.Error) Result { return Result{Kind: err.Kind, Detail: err.Detail} }

// Outcome returns ran, not run or unknown.
func (r Result) Outcome() errkind.Outcome { return r.Kind.Answer().Outcome }

func refused(k errkind.Kind, detail string) Result { return Result{Kind: k, Detail: detail} }

// Package poison tells the requests under which upstreams end from those that were
// merely there: a request that ends each upstream which runs it would, asked again and
// again, end a whole service.
//
// The package does no I/O and reads no clock. A Table is safe for concurrent use.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint names a request by what it asks for, so that it is known again when it
// is asked anew, through any entry host. It is the same on all hosts. The Host header is
// no part of it: callers may name each entry host by its address. Fingerprints that
// callers could forge would let them have the requests of others refused: Content and
// Caller are cut from a cryptographic hash.
type Fingerprint struct {
	// Target stands for the service and target alone; it is cheap, and only sorts out.
	Target uint64
	// Content stands for method, service, target and body.
	Content uint64
	// Caller stands for Content and who asks.
	Caller uint64
}

// Target returns the first part of a fingerprint.
func Target(service, target string) uint64 { return Hash(service, target) }

// FNV-1a, 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a number for a name of two parts that is the same on all hosts. It is
// FNV-1a without the allocations of the standard library's.
func Hash(a, b string) uint64 {
	h := uint64(fnvOffset)
	for _, part := range [...]string{a, b} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * fnvPrime
		}
	}
	return h
}

// FingerprintOf returns the fingerprint of a request to a service, which is the name of the document
// whose rule it matched.
func FingerprintOf(method, service, target string, body []byte, caller string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, service, target} {
		writePart(h, part)
	}
	_, _ = h.Write(body)
	content := h.Sum(nil)
	h.Reset()
	_, _ = h.Write(content)
	writePart(h, caller)
	return Fingerprint{
		Target:  Target(service, target),
		Content: binary.BigEndian.Uint64(content),
		Caller:  binary.BigEndian.Uint64(h.Sum(nil)),
	}
}

// writePart writes a text behind its length, so that two parts never run together.
func writePart(w io.Writer, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = w.Write(length[:])
	_, _ = io.WriteString(w, part)
}

// String returns the form in logs: equal first halves are the same request, equal
// second halves the same request of the same caller.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x-%016x", f.Content, f.Caller) }

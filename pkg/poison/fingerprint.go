// Package poison finds poison requests: requests that crash each upstream that runs
// them. Repeated by its caller, such a request would crash all upstreams of a service.
// The package distinguishes them from requests that were only in flight when an upstream
// crashed.
//
// The package does no I/O and reads no clock. A Table is safe for concurrent use.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint identifies a request by its contents, so that a repeated request is
// recognised at any entry host. It is the same on all hosts. It leaves out the Host header,
// because callers may address each entry host by its IP address. Content and Caller are
// truncated from a cryptographic hash: callers that could forge fingerprints could cause the
// requests of other callers to be refused.
type Fingerprint struct {
	// Target is a cheap hash of the service and target, for a first lookup.
	Target uint64
	// Content is a hash of the method, service, target and body.
	Content uint64
	// Caller is a hash of Content and the caller.
	Caller uint64
}

// Target returns the Target of a fingerprint.
func Target(service, target string) uint64 { return Hash(service, target) }

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a hash of two strings that is the same on all hosts. It is FNV-1a without the
// allocations of the standard library's implementation.
func Hash(a, b string) uint64 {
	h := uint64(fnvOffset)
	for _, part := range [...]string{a, b} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * fnvPrime
		}
	}
	return h
}

// FingerprintOf returns the fingerprint of a request. The service is the name of the document
// whose rule the request matched.
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

// writePart writes a string with its length as a prefix, so that the boundaries of parts are
// unambiguous.
func writePart(w io.Writer, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = w.Write(length[:])
	_, _ = io.WriteString(w, part)
}

// String returns the form for logs. The first half identifies the request, the second half
// the request and its caller.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x-%016x", f.Content, f.Caller) }

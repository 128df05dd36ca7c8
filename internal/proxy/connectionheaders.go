package proxy

import (
	"net/http"
	"strings"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
)

// setter is who may set a header.
type setter uint8

const (
	byCaller setter = 1 << iota
	byEntryHost
	byUpstream
)

// endToEndHeader is a header that the Connection header can't make hop-by-hop: it is set or
// trusted by an entry host, or says how the body is to be read.
type endToEndHeader struct {
	name string
	// request and response are who may set it there. What others set is replaced or removed.
	request, response setter
}

// endToEndHeaders returns the headers that Connection can't remove. The names of the dialect that
// are empty are left out.
func endToEndHeaders(d *Dialect) []endToEndHeader {
	all := []endToEndHeader{
		{d.RequestID, byCaller | byEntryHost, byUpstream | byEntryHost},
		{d.Timeout, byCaller | byEntryHost, 0},
		{d.Expect, byEntryHost, 0},
		{d.Key, byCaller, 0}, // not forwarded
		{d.Customer, byEntryHost, 0},
		{d.Signature, 0, byUpstream},
		{HeaderRetryAfter, 0, byUpstream | byEntryHost},
		{headerForwardedFor, byCaller | byEntryHost, 0},
		{headerVia, byCaller | byEntryHost, byUpstream},
		{"Traceparent", byCaller | byEntryHost, 0},
		{"Tracestate", byCaller | byEntryHost, 0},
		{"Content-Encoding", byCaller, byUpstream},
		{"Content-Type", byCaller, byUpstream},
		{"Content-Range", byCaller, byUpstream},
	}
	var out []endToEndHeader
	for _, h := range all {
		if h.name != "" {
			out = append(out, h)
		}
	}
	return out
}

// ownPrefix is the prefix of the product's own headers, which Connection can't remove either.
const ownPrefix = "Dapplespindle-"

// connectionHeaders removes the headers that concern one connection only. It is immutable.
type connectionHeaders struct {
	endToEnd map[string]bool
}

func newConnectionHeaders(d *Dialect) connectionHeaders {
	c := connectionHeaders{endToEnd: make(map[string]bool)}
	for _, h := range endToEndHeaders(d) {
		c.endToEnd[http.CanonicalHeaderKey(h.name)] = true
	}
	return c
}

// remove deletes the hop-by-hop headers of a request or response, and those that its Connection
// header names unless they are end-to-end. A caller could otherwise remove what an entry host has
// set, such as the customer's name.
func (c connectionHeaders) remove(h http.Header) {
	httpwire.RemoveHopByHop(h, func(name string) bool {
		return c.endToEnd[name] || strings.HasPrefix(name, ownPrefix)
	})
}

package proxy

import (
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Headers that the entry host reads or sets. docs/OVERLOAD.md describes the
// contract with upstreams.
const (
	// HeaderRequestID is the caller's request ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is the time left, in milliseconds.
	HeaderTimeout = "X-Request-Timeout-Ms"
	// HeaderOutcome on a response is ran, not-run or unknown.
	HeaderOutcome = "Dapplespindle-Outcome"
	// HeaderError on a response is the error kind.
	HeaderError = "Dapplespindle-Error"
	// HeaderUpstream on a response is the upstream's ID.
	HeaderUpstream = "Dapplespindle-Upstream"
	// HeaderAttempt is the number of the attempt, from 1. A request that arrives with a
	// higher number is a retry by the layer above.
	HeaderAttempt = "Dapplespindle-Attempt"
	// HeaderKey is a customer's key; it is not forwarded to upstreams.
	HeaderKey = "X-Customer-Key"
	// HeaderCustomer tells an upstream the name of the customer that owns the key.
	HeaderCustomer = "X-Customer"
	// HeaderNoRetry on a response asks the layers above not to retry.
	HeaderNoRetry = "Dapplespindle-No-Retry"
	// HeaderNotRun with status 503 declares that the request was not run.
	HeaderNotRun = "Dapplespindle-Not-Run"
	// HeaderLoad on a response is the number of requests in flight at the upstream.
	HeaderLoad = "X-Load-Active"
	// HeaderLimit on a response is the number of requests per second that the upstream
	// accepts from all entry hosts together. It applies as long as responses carry it.
	HeaderLimit = "X-Limit-Per-Second"
	// HeaderRetryAfter is the standard header, in seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMs is the same delay in milliseconds.
	HeaderRetryAfterMs = "Dapplespindle-Retry-After-Ms"

	headerForwardedFor = "X-Forwarded-For"
	headerVia          = "Via"

	viaValue         = "1.1 dapplespindle"
	flagSet          = "1"
	maxRequestIDSize = 64
)

// requestID returns the caller's request ID, or a new one.
func (p *Proxy) requestID(req *httpwire.Request) string {
	if id := req.Header.Get(p.dialect.RequestID); id != "" && len(id) <= maxRequestIDSize {
		return id
	}
	return p.prefix + strconv.FormatUint(p.nextID.Add(1), 36)
}

// viaValues is the Via header of a request that arrived without one.
var viaValues = []string{viaValue}

// prepareHeader sets the headers that all attempts of the request share. Other
// end-to-end headers, such as traceparent, are forwarded unchanged. The proxy owns the
// request, so its header map is modified in place.
func (x *exchange) prepareHeader() {
	x.proxy.connection.remove(x.req.Header)
	if !x.proxy.dialect.SendsOwnHeaders {
		return
	}
	x.isRetry = arrivedAsRetry(x.req.Header)
	h := x.req.Header
	h[HeaderRequestID] = x.values.one(x.id)
	if ip := callerIP(x.req.RemoteAddr); ip != "" {
		h[headerForwardedFor] = x.appended(h[headerForwardedFor], ip)
	}
	if len(h[headerVia]) == 0 {
		h[headerVia] = viaValues
	} else {
		h[headerVia] = x.appended(h[headerVia], viaValue)
	}
}

// appended returns a list header with value added. It does not modify the old slice.
func (x *exchange) appended(old []string, value string) []string {
	if len(old) == 0 {
		return x.values.one(value)
	}
	return append(slices.Clip(old), value)
}

// attemptRequest returns the request for one attempt. The first attempt uses the caller's
// request with its header map; later ones, which may run concurrently, use a copy. The lock
// orders the copy after the writes to the map here; the map is not written afterwards.
func (x *exchange) attemptRequest(b binding) *httpwire.Request {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	req := x.req
	if x.requestUsed {
		own := *x.req
		own.Header = maps.Clone(x.req.Header)
		req = &own
	}
	x.requestUsed = true
	req.NonRepeatable = !x.repeatable()
	d := x.proxy.dialect
	req.Header[d.Timeout] = x.values.one(x.timeoutValue())
	if d.SendsOwnHeaders {
		req.Header[HeaderAttempt] = x.values.one(x.attemptValue(b.number))
	}
	if d.Expect != "" {
		req.Header[d.Expect] = x.values.one(b.upstream.ID)
	}
	x.hop.Inject(b.number, req.Header)
	return req
}

// valueSlots is the number of header values of a request with two attempts.
const valueSlots = 6

// values is a buffer for the header values of a request, which avoids an allocation for
// each single-valued header. It is not safe for concurrent use.
type values struct {
	slots [valueSlots]string
	used  int
}

// one returns a slice of one value. It has no spare capacity, so that append copies it.
func (v *values) one(value string) []string {
	if v.used == valueSlots {
		return []string{value}
	}
	at := v.used
	v.used++
	v.slots[at] = value
	return v.slots[at:v.used:v.used]
}

// attemptValue returns the attempt header. Below a retry, every attempt is marked as a
// retry, at any depth.
func (x *exchange) attemptValue(n int) string {
	if x.isRetry {
		n++
	}
	return strconv.Itoa(n)
}

func arrivedAsRetry(h http.Header) bool {
	value := h.Get(HeaderAttempt)
	if value == "" {
		return false // the common case; a failed conversion allocates
	}
	n, err := strconv.Atoi(value)
	return err == nil && n > 1
}

// callerIP returns the IP of a valid IP:port address, or an empty string.
func callerIP(remote string) string {
	if _, err := netip.ParseAddrPort(remote); err != nil {
		return ""
	}
	ip, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return ip
}

// defaultLoad parses the load report of the default dialect: the requests in flight.
func defaultLoad(h http.Header) balancer.Report {
	value := h.Get(HeaderLoad)
	if value == "" {
		return balancer.Report{}
	}
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < 0 {
		return balancer.Report{}
	}
	return balancer.Report{Valid: true, InFlight: int(n)}
}

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
	// HeaderRequestID is the caller's request id.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is the time left, in milliseconds.
	HeaderTimeout = "X-Request-Timeout-Ms"
	// HeaderOutcome on an answer is ran, not-run or unknown.
	HeaderOutcome = "Dapplespindle-Outcome"
	// HeaderError on an answer is the error kind.
	HeaderError = "Dapplespindle-Error"
	// HeaderUpstream on an answer is the upstream's id.
	HeaderUpstream = "Dapplespindle-Upstream"
	// HeaderAttempt counts the sends of a request, from 1. A request that
	// arrives with a higher number is a retry of the layer above.
	HeaderAttempt = "Dapplespindle-Attempt"
	// HeaderKey is a customer's key; it goes to no upstream.
	HeaderKey = "X-Customer-Key"
	// HeaderCustomer tells an upstream the name of the customer that owns the key.
	HeaderCustomer = "X-Customer"
	// HeaderNoRetry on an answer asks the layers above not to retry.
	HeaderNoRetry = "Dapplespindle-No-Retry"
	// HeaderNotRun with status 503 declares that the request was not run.
	HeaderNotRun = "Dapplespindle-Not-Run"
	// HeaderLoad on an answer is the number of requests in flight at the upstream.
	HeaderLoad = "X-Load-Active"
	// HeaderLimit on an answer is how many requests a second the upstream takes from all
	// entry hosts together, for as long as its answers say so.
	HeaderLimit = "X-Limit-Per-Second"
	// HeaderRetryAfter is the standard header, in seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMs is the same in milliseconds.
	HeaderRetryAfterMs = "Dapplespindle-Retry-After-Ms"

	headerForwardedFor = "X-Forwarded-For"
	headerVia          = "Via"

	viaValue         = "1.1 dapplespindle"
	flagSet          = "1"
	maxRequestIDSize = 64
)

// requestID returns the caller's id, or a new one.
func (p *Proxy) requestID(req *httpwire.Request) string {
	if id := req.Header.Get(p.dialect.RequestID); id != "" && len(id) <= maxRequestIDSize {
		return id
	}
	return p.prefix + strconv.FormatUint(p.nextID.Add(1), 36)
}

// viaValues is the Via header of a request that came without one.
var viaValues = []string{viaValue}

// prepareHeader builds what all sends of the request have in common. All other
// end-to-end headers, such as traceparent, are carried on as they are. The
// request belongs to the proxy, so that its map is used.
func (x *exchange) prepareHeader() {
	httpwire.RemoveHopByHop(x.req.Header)
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

// appended joins value to a list header without touching the old slice.
func (x *exchange) appended(old []string, value string) []string {
	if len(old) == 0 {
		return x.values.one(value)
	}
	return append(slices.Clip(old), value)
}

// attemptRequest returns the request for one send. The first to be sent is
// the caller's own, with its map; the next, which may run beside it, has a
// copy. The lock orders the copy behind what is set in the map here; nothing
// is set in it afterwards.
func (x *exchange) attemptRequest(b binding) *httpwire.Request {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	req := x.req
	if x.lent {
		own := *x.req
		own.Header = maps.Clone(x.req.Header)
		req = &own
	}
	x.lent = true
	req.Once = !x.repeatable()
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

// valueSlots is the number of header values that a request sent twice needs.
const valueSlots = 6

// values holds the values of a request's headers with one value, so that each
// needs no memory of its own. One goroutine may use it at a time.
type values struct {
	slots [valueSlots]string
	used  int
}

// one returns a list of one value. It has no room, so that appending copies.
func (v *values) one(value string) []string {
	if v.used == valueSlots {
		return []string{value}
	}
	at := v.used
	v.used++
	v.slots[at] = value
	return v.slots[at:v.used:v.used]
}

// attemptValue marks every send below a retry as a retry, at any depth.
func (x *exchange) attemptValue(n int) string {
	if x.isRetry {
		n++
	}
	return strconv.Itoa(n)
}

func arrivedAsRetry(h http.Header) bool {
	value := h.Get(HeaderAttempt)
	if value == "" {
		return false // the usual case; a failed conversion allocates
	}
	n, err := strconv.Atoi(value)
	return err == nil && n > 1
}

// callerIP returns the IP of an address that it has checked.
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

// ownLoad reads the product's own load report: the requests in flight.
func ownLoad(h http.Header) balancer.Report {
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

package proxy

import (
	"maps"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
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
	// HeaderNoRetry on an answer asks the layers above not to retry.
	HeaderNoRetry = "Dapplespindle-No-Retry"
	// HeaderNotRun with status 503 declares that the request was not run.
	HeaderNotRun = "Dapplespindle-Not-Run"
	// HeaderLoad on an answer is the number of requests in flight at the upstream.
	HeaderLoad = "X-Load-Active"
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
	if id := req.Header.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDSize {
		return id
	}
	return p.prefix + strconv.FormatUint(p.nextID.Add(1), 36)
}

// prepareHeader builds what all sends of the request have in common. All other
// end-to-end headers, such as traceparent, are carried on as they are. The
// request belongs to the proxy, so that its map is used.
func (x *exchange) prepareHeader() {
	x.isRetry = arrivedAsRetry(x.req.Header)
	httpwire.RemoveHopByHop(x.req.Header)
	h := x.req.Header
	h[HeaderRequestID] = []string{x.id}
	appendValue(h, headerForwardedFor, callerIP(x.req.RemoteAddr))
	appendValue(h, headerVia, viaValue)
	x.header = h
}

// attemptRequest returns a request of its own for send number n. Hedged sends
// run in parallel, so that the map must not be shared; the values are.
func (x *exchange) attemptRequest(n int) *httpwire.Request {
	req := *x.req
	req.Header = maps.Clone(x.header)
	req.Header[HeaderTimeout] = []string{x.timeoutValue()}
	req.Header[HeaderAttempt] = []string{x.attemptValue(n)}
	x.hop.Inject(n, req.Header)
	return &req
}

// attemptValue marks every send below a retry as a retry, at any depth.
func (x *exchange) attemptValue(n int) string {
	if x.isRetry {
		n++
	}
	return strconv.Itoa(n)
}

func arrivedAsRetry(h http.Header) bool {
	n, err := strconv.Atoi(h.Get(HeaderAttempt))
	return err == nil && n > 1
}

// appendValue joins value to a list header without touching the old slice.
func appendValue(h http.Header, key, value string) {
	if value == "" {
		return
	}
	old := h[key]
	joined := make([]string, 0, len(old)+1)
	joined = append(joined, old...)
	h[key] = append(joined, value)
}

func callerIP(remote string) string {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return ""
	}
	return ap.Addr().String()
}

// loadReport returns the requests in flight that an upstream reports, or
// noReport.
func loadReport(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get(HeaderLoad), 10, 64)
	if err != nil || n < 0 {
		return noReport
	}
	return n
}

// noReport marks an answer without a load report.
const noReport = -1

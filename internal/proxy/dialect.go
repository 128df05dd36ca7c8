package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// Dialect is how requests and answers are spoken: the names of headers and the
// forms of their values. It decides nothing. All fields are set before the
// proxy is built and not changed afterwards.
type Dialect struct {
	// RequestID is the header with the caller's request id.
	RequestID string
	// Timeout is the header with the time left, in milliseconds.
	Timeout string
	// Expect is the header that names the upstream which a request is for; any
	// other refuses it. Empty is not sent.
	Expect string
	// Signature is the header without which a success is not the upstream's own
	// answer. Empty is not asked for.
	Signature string
	// Key is the header with a customer's key, of which upstreams are told nothing, and
	// Customer the one that tells them the customer's name. Empty reads no keys.
	Key, Customer string
	// EchoesRequestID states that upstreams return the request id in their answers.
	EchoesRequestID bool
	// SendsOwnHeaders states that the product's own headers are sent: what the caller
	// learns of the outcome, and what the layers below learn of the way.
	SendsOwnHeaders bool
	// FractionalRetryAfter writes Retry-After with fractions of a second.
	FractionalRetryAfter bool
	// Load reads the load report of an answer.
	Load func(http.Header) balancer.Report
	// Cold reads how much longer an upstream stays cold from the answer to a question
	// about its load; false if it does not say. Nil reads nothing.
	Cold func(http.Header) (time.Duration, bool)
	// NotRun reports whether an upstream declares that it did not run the request.
	NotRun func(status int, h http.Header) bool
	// Leaving reports whether an answer says that the upstream leaves. Nil reads nothing.
	Leaving func(status int, h http.Header) bool
	// Instance reads which upstream answered a question about its load; empty if it does
	// not say. Nil reads nothing.
	Instance func(http.Header) string
	// Backoff reads for how long an upstream that turned a request away wants nothing more
	// from this host; 0 if it does not say, an error if its word can't be read. Nil reads
	// nothing.
	Backoff func(status int, h http.Header) (time.Duration, error)
	// Limit reads what an answer says of the requests a second that the upstream takes from
	// all hosts together; an error if its word can't be read. Nil reads nothing.
	Limit func(status int, h http.Header) (ratelimit.Limit, error)
}

// DefaultDialect is the product's own: docs/OVERLOAD.md.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID:       HeaderRequestID,
		Timeout:         HeaderTimeout,
		SendsOwnHeaders: true,
		Key:             HeaderKey,
		Customer:        HeaderCustomer,
		Load:            ownLoad,
		NotRun: func(status int, h http.Header) bool {
			return status == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == flagSet
		},
		Leaving: func(_ int, h http.Header) bool {
			return lifecycle.ParseLeaving(h.Get(lifecycle.HeaderLeaving))
		},
		Backoff: ownRest,
		Limit:   ownLimit,
	}
}

// ownRest reads the product's own word for rest. An entry host below refuses for the
// caller's sake, and its time to come back is about that request alone.
func ownRest(status int, h http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable || h.Get(HeaderNotRun) != flagSet || h.Get(HeaderError) != "" {
		return 0, nil
	}
	if ms := h.Get(HeaderRetryAfterMs); ms != "" {
		return backoff.ParseMilliseconds(ms)
	}
	return backoff.ParseSeconds(h.Get(HeaderRetryAfter))
}

// ownLimit reads the product's own word for a limit. An entry host below speaks for
// itself where it gives no upstream's answer; a refusal that names none says nothing.
func ownLimit(status int, h http.Header) (ratelimit.Limit, error) {
	value := h.Get(HeaderLimit)
	if value == "" && (h.Get(HeaderError) != "" || status == http.StatusServiceUnavailable) {
		return ratelimit.Limit{}, nil
	}
	return ratelimit.Parse(value)
}

// WithDialect speaks d instead of the product's own dialect.
func WithDialect(d *Dialect) Option { return func(p *Proxy) { p.dialect = d } }

// promises are the statuses that tell a caller that the request did not run
// and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Matches reports whether an answer belongs to a request: a connection may carry
// a late second answer to the request before.
func (d *Dialect) Matches(req *httpwire.Request, h http.Header) bool {
	if !d.EchoesRequestID {
		return true
	}
	echo := h.Get(d.RequestID)
	return echo == "" || echo == req.Header.Get(d.RequestID)
}

// fault returns why a whole answer can't be passed on, or nil. A success needs
// the upstream's signature and a body as the upstream has it; a status that
// promises "not run" needs the upstream's own word, which NotRun has read.
func (d *Dialect) fault(resp *httpwire.Response) *errkind.Error {
	if d.Signature == "" {
		return nil
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return errkind.New(errkind.UpstreamBroken, "encoded body")
	}
	success := resp.Status < http.StatusMultipleChoices
	if success && resp.Header.Get(d.Signature) == "" {
		return errkind.New(errkind.UpstreamBroken, "success without signature")
	}
	if promises(resp.Status) {
		return errkind.New(errkind.UpstreamBroken, "status "+strconv.Itoa(resp.Status)+" without a declaration that it was not run")
	}
	return nil
}

// retryAfter sets the time to come back.
func (d *Dialect) retryAfter(h http.Header, wait time.Duration) {
	if d.FractionalRetryAfter {
		h[HeaderRetryAfter] = []string{strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
		return
	}
	setOwnRetryAfter(h, wait)
}

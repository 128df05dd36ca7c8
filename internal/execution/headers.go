package execution

import (
	"maps"
	"net/http"
	"strings"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Headers of single execution.
const (
	// HeaderKey carries the ticket of a request, the standard idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderTicket on an answer offers a ticket for the caller's next request.
	HeaderTicket = "Dapplespindle-Ticket"
)

// Headers that the proxy sets on its answers, read here.
const (
	headerOutcome    = "Dapplespindle-Outcome"
	headerError      = "Dapplespindle-Error"
	headerRequestID  = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// retryAfterSeconds is when a caller may come back after a refusal.
const retryAfterSeconds = "1"

// ticketOf reads the ticket of a request, quoted or bare.
func ticketOf(h http.Header) (atmostonce.Ticket, *errkind.Error) {
	values := h[HeaderKey]
	switch len(values) {
	case 0:
		return atmostonce.Ticket{}, errkind.New(errkind.TicketRequired, "repeat the request with the offered ticket as "+HeaderKey)
	case 1:
	default:
		return atmostonce.Ticket{}, errkind.New(errkind.IssuerNotAsked, "more than one "+HeaderKey)
	}
	text := strings.TrimSpace(values[0])
	if n := len(text); n >= 2 && text[0] == '"' && text[n-1] == '"' {
		text = text[1 : n-1]
	}
	t, err := atmostonce.ParseTicket(text)
	if err != nil {
		return t, errkind.Wrap(errkind.TicketRequired, err, "the key is not a ticket")
	}
	return t, nil
}

// RefusalBeforeExecute returns the error to answer with when a request is refused before
// Execute was called: for want of a configuration or a route, by a limit, or
// because it was not received whole. The request was not run by this ask, but
// with a ticket an earlier ask may have run: then the outcome is unknown.
func RefusalBeforeExecute(h http.Header, err *errkind.Error) *errkind.Error {
	if len(h[HeaderKey]) == 0 || err.Kind.Answer().Outcome != errkind.NotRun {
		return err
	}
	if _, bad := ticketOf(h); bad != nil && bad.Kind == errkind.TicketRequired {
		return err
	}
	return errkind.Wrap(errkind.IssuerNotAsked, err, "refused before the issuer was asked")
}

// resultOf reads what the proxy's answer says about execution.
func resultOf(resp *httpwire.Response) atmostonce.Result {
	name := resp.Header.Get(headerError)
	outcome := resp.Header.Get(headerOutcome)
	if outcome == errkind.Ran.String() {
		return atmostonce.Ran(&atmostonce.Answer{Status: resp.Status, Header: maps.Clone(resp.Header), Body: resp.Body})
	}
	kind := kindNamed(name)
	if kind.Answer().Outcome.String() != outcome {
		kind = errkind.OutcomeUnknown
	}
	return atmostonce.Result{Kind: kind, Detail: strings.TrimSpace(string(resp.Body))}
}

var kindsByName = namesOfKinds()

func namesOfKinds() map[string]errkind.Kind {
	names := make(map[string]errkind.Kind)
	for _, k := range errkind.All() {
		names[k.String()] = k
	}
	return names
}

// kindNamed returns the kind with a stable name. A name that this version does
// not know says nothing certain.
func kindNamed(name string) errkind.Kind {
	if k, ok := kindsByName[name]; ok {
		return k
	}
	return errkind.OutcomeUnknown
}

// responseOf renders a result. The header is the response's own.
func responseOf(r atmostonce.Result, requestID string) *httpwire.Response {
	if a := r.Answer; a != nil {
		h := http.Header(maps.Clone(a.Header))
		setRequestID(h, requestID)
		return &httpwire.Response{Status: a.Status, Header: h, Body: a.Body, ContentLength: -1}
	}
	answer := r.Kind.Answer()
	h := http.Header{
		"Content-Type": {"text/plain; charset=utf-8"},
		headerOutcome:  {answer.Outcome.String()},
		headerError:    {answer.Name},
	}
	setRequestID(h, requestID)
	if answer.RetryAfter {
		h[headerRetryAfter] = []string{retryAfterSeconds}
	}
	return &httpwire.Response{Status: answer.Status, Header: h, Body: []byte(answer.Name + ": " + r.Detail + "\n"), ContentLength: -1}
}

func setRequestID(h http.Header, id string) {
	if id != "" {
		h[headerRequestID] = []string{id}
	}
}

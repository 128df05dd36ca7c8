package execution

import (
	"maps"
	"net/http"
	"strings"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Headers of at-most-once execution.
const (
	// HeaderKey is the standard idempotency key. It carries the ticket of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderTicket carries, on a response, a ticket for the caller's next request.
	HeaderTicket = "Dapplespindle-Ticket"
)

// Headers that the proxy sets on its responses. This package reads them, and sets them
// on its own responses.
const (
	headerOutcome    = "Dapplespindle-Outcome"
	headerError      = "Dapplespindle-Error"
	headerRequestID  = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// retryAfterSeconds is the value of Retry-After on responses that allow a retry.
const retryAfterSeconds = "1"

// ticketFromHeader returns the ticket of a request, whose header value may be quoted.
func ticketFromHeader(h http.Header) (atmostonce.Ticket, *errkind.Error) {
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

// RefusalBeforeExecute returns the error to report when a request is refused before
// Execute was called: because there is no configuration or route, because of a
// limit, or because it was not received completely. This arrival did not run the
// request, but if the request carries a ticket, an earlier arrival may have run it,
// and the outcome is unknown.
func RefusalBeforeExecute(h http.Header, err *errkind.Error) *errkind.Error {
	if len(h[HeaderKey]) == 0 || err.Kind.Answer().Outcome != errkind.NotRun {
		return err
	}
	if _, bad := ticketFromHeader(h); bad != nil && bad.Kind == errkind.TicketRequired {
		return err
	}
	return errkind.Wrap(errkind.IssuerNotAsked, err, "refused before the issuer was asked")
}

// resultFromResponse derives the result of an execution from the headers of the
// proxy's response.
func resultFromResponse(resp *httpwire.Response) atmostonce.Result {
	name := resp.Header.Get(headerError)
	outcome := resp.Header.Get(headerOutcome)
	if outcome == errkind.Ran.String() {
		return atmostonce.Ran(&atmostonce.Answer{Status: resp.Status, Header: maps.Clone(resp.Header), Body: resp.Body})
	}
	kind := kindByName(name)
	if kind.Answer().Outcome.String() != outcome {
		kind = errkind.OutcomeUnknown
	}
	return atmostonce.Result{Kind: kind, Detail: strings.TrimSpace(string(resp.Body))}
}

var kindsByName = indexKinds()

func indexKinds() map[string]errkind.Kind {
	names := make(map[string]errkind.Kind)
	for _, k := range errkind.All() {
		names[k.String()] = k
	}
	return names
}

// kindByName returns the error kind with the given stable name, or OutcomeUnknown if
// this version does not know the name.
func kindByName(name string) errkind.Kind {
	if k, ok := kindsByName[name]; ok {
		return k
	}
	return errkind.OutcomeUnknown
}

// newResponse renders a result as a response, which does not share its header map
// with the result.
func newResponse(r atmostonce.Result, requestID string) *httpwire.Response {
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

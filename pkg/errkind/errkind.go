// Package errkind defines the closed set of error kinds and the table that maps each
// kind to the response that a caller gets.
//
// Every refusal or failure that reaches a caller has exactly one kind. The kind
// determines the HTTP status, whether the request is known not to have run, and whether a
// Retry-After header is sent. A test checks docs/ERRORS.md against the table.
package errkind

import "net/http"

// Kind is an error kind.
type Kind uint8

// All error kinds.
const (
	// None is the zero value: no error.
	None Kind = iota
	// BadRequest is a request with invalid framing or syntax.
	BadRequest
	// HeaderTooLarge is a request whose head exceeds the configured limit.
	HeaderTooLarge
	// BodyTooLarge is a request whose body exceeds the configured limit.
	BodyTooLarge
	// RequestTimeout is a request that the caller sent too slowly.
	RequestTimeout
	// NoRoute is a request that matches no service or rule.
	NoRoute
	// NotReady is a request to an entry host that has no configuration, is resuming after a
	// pause, or is shutting down.
	NotReady
	// NoUpstream is a request for which no upstream is eligible.
	NoUpstream
	// Overloaded is a request that was refused by a limit or a full queue before it was sent.
	Overloaded
	// DeadlineBeforeSend is a deadline that passed before any byte was sent to an upstream.
	DeadlineBeforeSend
	// UpstreamRefused is an upstream that declared that it did not run the request.
	UpstreamRefused
	// ConnectFailed is a connection that could not be established; nothing was sent.
	ConnectFailed
	// DeadlineAfterSend is a deadline that passed after bytes were sent to an upstream.
	DeadlineAfterSend
	// UpstreamBroken is a truncated or malformed response.
	UpstreamBroken
	// OutcomeUnknown is a non-repeatable request that may or may not have run.
	OutcomeUnknown
	// TicketRejected is an execution ticket that was never issued: malformed or forged.
	TicketRejected
	// CallerGone is a caller that closed its connection before the response.
	CallerGone
	// Internal is a violated invariant inside the process.
	Internal
	// TicketRequired is a non-repeatable request without a ticket.
	TicketRequired
	// TicketExpired is a ticket that was not used within its lifetime and can't be used any more.
	TicketExpired
	// TicketForgotten is a ticket whose record was discarded after its retention period.
	TicketForgotten
	// TicketMismatch is a ticket that was already used for a different request.
	TicketMismatch
	// IssuerUnreachable is a ticket whose issuer did not respond.
	IssuerUnreachable
	// IssuerNotAsked is a request with a ticket that was refused before the ticket's issuer
	// was asked for the request's outcome.
	IssuerNotAsked
	// IssuerGone is a ticket whose issuing process has ended.
	IssuerGone
	// AnswerNotKept is a request that ran and whose response is no longer stored.
	AnswerNotKept
	// SendFailed is a connection that ended before an upstream can have received the complete
	// request head.
	SendFailed
	// UpstreamTLSNotSet is a group that requires TLS, on an entry host without a certificate
	// authority for upstreams; nothing was sent.
	UpstreamTLSNotSet
	// UpstreamFailed is a complete response in which an upstream reports a failure. It is
	// returned unchanged if no other upstream responds.
	UpstreamFailed
	// Quarantined is a request that was refused before it was sent, because several upstreams
	// crashed while running it.
	Quarantined
	// UpstreamsRest is a request that was refused before it was sent, because all its upstreams
	// asked this host to back off.
	UpstreamsRest
	// UpstreamsLimited is a request that was refused because all its upstreams announce a rate
	// limit and no time slot is left that would be in time.
	UpstreamsLimited
	// RouteUnserved is a request to a published service that entry hosts can't serve, or are
	// configured not to serve.
	RouteUnserved
	// UnknownKey is a request whose customer key is missing, unknown or revoked.
	UnknownKey
	// CustomerUnserved is a request of a customer that entry hosts can't serve.
	CustomerUnserved
	// QuotaExceeded is a request that exceeds its customer's quota.
	QuotaExceeded
	// ConnectionLimit is an attempt for which this host has no connection to the chosen upstream:
	// all that it may open are in use.
	ConnectionLimit

	numKinds
)

// Outcome is what is known about execution at an upstream.
type Outcome uint8

// The outcomes. An unknown outcome is never reported as Ran or NotRun.
const (
	// Ran means that the response is the upstream's own.
	Ran Outcome = iota
	// NotRun means that no upstream can have run the request.
	NotRun
	// Unknown means that an upstream may have run the request.
	Unknown
)

var outcomeNames = [...]string{Ran: "ran", NotRun: "not-run", Unknown: "unknown"}

// String returns the name used in the Dapplespindle-Outcome header.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer describes the response to a caller for a kind.
type Answer struct {
	// Name is the stable name of the kind in logs and in the Dapplespindle-Error header.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what is known about the execution of the request.
	Outcome Outcome
	// RetryAfter is set if the response has a Retry-After header.
	RetryAfter bool
}

var answers = [numKinds]Answer{
	None:               {"none", http.StatusOK, Ran, false},
	BadRequest:         {"bad-request", http.StatusBadRequest, NotRun, false},
	HeaderTooLarge:     {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	BodyTooLarge:       {"body-too-large", http.StatusRequestEntityTooLarge, NotRun, false},
	RequestTimeout:     {"request-timeout", http.StatusRequestTimeout, NotRun, false},
	NoRoute:            {"no-route", http.StatusNotFound, NotRun, false},
	NotReady:           {"not-ready", http.StatusServiceUnavailable, NotRun, true},
	NoUpstream:         {"no-upstream", http.StatusServiceUnavailable, NotRun, true},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, NotRun, true},
	DeadlineBeforeSend: {"deadline-before-send", http.StatusGatewayTimeout, NotRun, false},
	UpstreamRefused:    {"upstream-refused", http.StatusServiceUnavailable, NotRun, true},
	ConnectFailed:      {"connect-failed", http.StatusServiceUnavailable, NotRun, true},
	DeadlineAfterSend:  {"deadline-after-send", http.StatusGatewayTimeout, Unknown, false},
	UpstreamBroken:     {"upstream-broken", http.StatusBadGateway, Unknown, false},
	OutcomeUnknown:     {"outcome-unknown", http.StatusBadGateway, Unknown, false},
	TicketRejected:     {"ticket-rejected", http.StatusConflict, NotRun, false},
	CallerGone:         {"caller-gone", 499, Unknown, false},
	Internal:           {"internal", http.StatusInternalServerError, Unknown, false},
	TicketRequired:     {"ticket-required", http.StatusPreconditionRequired, NotRun, false},
	TicketExpired:      {"ticket-expired", http.StatusPreconditionRequired, NotRun, false},
	TicketForgotten:    {"ticket-forgotten", http.StatusGone, Unknown, false},
	TicketMismatch:     {"ticket-mismatch", http.StatusUnprocessableEntity, Unknown, false},
	IssuerUnreachable:  {"issuer-unreachable", http.StatusBadGateway, Unknown, true},
	IssuerNotAsked:     {"issuer-not-asked", http.StatusServiceUnavailable, Unknown, true},
	IssuerGone:         {"issuer-gone", http.StatusGone, Unknown, false},
	AnswerNotKept:      {"answer-not-kept", http.StatusGone, Ran, false},
	SendFailed:         {"send-failed", http.StatusServiceUnavailable, NotRun, true},
	UpstreamFailed:     {"upstream-failed", http.StatusBadGateway, Unknown, false},
	Quarantined:        {"quarantined", http.StatusServiceUnavailable, NotRun, true},
	UpstreamsRest:      {"upstreams-rest", http.StatusServiceUnavailable, NotRun, true},
	UpstreamsLimited:   {"upstreams-limited", http.StatusServiceUnavailable, NotRun, true},
	RouteUnserved:      {"route-unserved", http.StatusServiceUnavailable, NotRun, true},
	UnknownKey:         {"unknown-key", http.StatusUnauthorized, NotRun, false},
	CustomerUnserved:   {"customer-unserved", http.StatusServiceUnavailable, NotRun, true},
	QuotaExceeded:      {"quota-exceeded", http.StatusTooManyRequests, NotRun, true},
	ConnectionLimit:    {"connection-limit", http.StatusServiceUnavailable, NotRun, true},
	UpstreamTLSNotSet:  {"upstream-tls-not-set", http.StatusBadGateway, NotRun, false},
}

// Answer returns the response for k. An out-of-range kind is treated as Internal.
func (k Kind) Answer() Answer {
	if k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Answer().Name }

// All returns all kinds except None, in order.
func All() []Kind {
	kinds := make([]Kind, 0, numKinds-1)
	for k := None + 1; k < numKinds; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error with a kind and a detail.
type Error struct {
	// Kind selects the response to the caller.
	Kind Kind
	// Detail is part of the error text, which is used in logs, events and response bodies.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of kind k.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// Wrap returns an error of kind k with an underlying cause.
func Wrap(k Kind, cause error, detail string) *Error {
	return &Error{Kind: k, Detail: detail, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Kind.String() + ": " + e.Detail
	}
	return e.Kind.String() + ": " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Cause }

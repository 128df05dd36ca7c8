package event

// Codes 4xxx: retries and hedging.
const (
	RetrySent   Code = 4001
	RetryDenied Code = 4002
)

// retryEvents describes the codes 4xxx: retries and hedging.
var retryEvents = map[Code]Entry{
	RetrySent:   {"retry-sent", Info, "A repeatable request is sent again.", ""},
	RetryDenied: {"retry-denied", Info, "A request is not sent again; the reason says which limit denied it.", ""},
}

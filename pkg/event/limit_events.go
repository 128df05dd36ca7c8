package event

// Codes 5xxx: limits, queues and load shedding.
const (
	RequestQueued Code = 5001
	QueueLeft     Code = 5002
	RequestShed   Code = 5003
	LimitChanged  Code = 5004
	QuotaReached  Code = 5005
	CustomerOver  Code = 5006
)

// limitEvents describes the codes 5xxx: limits, queues and load shedding.
var limitEvents = map[Code]Entry{
	RequestQueued: {"request-queued", Debug, "A request is queued on this entry host for a slot; the reason states what was full.", "requests waiting"},
	QueueLeft:     {"queue-left", Debug, "A queued request left the queue to be sent.", "time waited, microseconds"},
	RequestShed:   {"request-shed", Info, "A request is dropped before it was sent; the reason names the limit that caused it.", "requests waiting"},
	QuotaReached:  {"quota-reached", Debug, "A request is refused because its customer, named by the reason, has exceeded its quota.", "ms until there may be room"},
	CustomerOver:  {"customer-over-quota", Info, "Requests of a customer, named by the reason, are refused on this entry host because they exceed its quota; logged at most once in ten seconds for each customer.", "requests refused since the last line"},
	LimitChanged:  {"limit-changed", Debug, "The group's limit of requests in flight changed; the reason states the cause.", "requests in flight allowed"},
}

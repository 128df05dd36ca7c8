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
	RequestQueued: {"request-queued", Debug, "A request waits on this entry host for a slot; the reason says what was full.", "requests waiting"},
	QueueLeft:     {"queue-left", Debug, "A request that waited is sent.", "time waited, microseconds"},
	RequestShed:   {"request-shed", Info, "A request is given up before it was sent; the reason says which bound gave it up.", "requests waiting"},
	QuotaReached:  {"quota-reached", Debug, "A request is refused because its customer, which the reason names, is beyond its quota.", "ms until there may be room"},
	CustomerOver:  {"customer-over-quota", Info, "Requests of a customer, which the reason names, are refused on this entry host because they are beyond its quota; written once in ten seconds for each.", "requests refused since the last line"},
	LimitChanged:  {"limit-changed", Debug, "The group's limit of requests in flight moved; the reason says what moved it.", "requests in flight allowed"},
}

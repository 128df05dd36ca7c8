package event

// Codes 5xxx: limits, queues and shedding.
const (
	RequestQueued Code = 5001
	QueueLeft     Code = 5002
	RequestShed   Code = 5003
	LimitChanged  Code = 5004
)

// limitEvents describes the codes 5xxx: limits, queues and shedding.
var limitEvents = map[Code]Entry{
	RequestQueued: {"request-queued", Debug, "A request waits on this entry host for a slot; the reason says what was full.", "requests waiting"},
	QueueLeft:     {"queue-left", Debug, "A request that waited is sent.", "time waited, microseconds"},
	RequestShed:   {"request-shed", Info, "A request is given up before it was sent; the reason says which bound gave it up.", "requests waiting"},
	LimitChanged:  {"limit-changed", Debug, "The group's limit of requests in flight moved; the reason says what moved it.", "requests in flight allowed"},
}

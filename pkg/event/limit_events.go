package event

// limitEvents describes the codes 5xxx: limits, queues and shedding.
var limitEvents = map[Code]Entry{}

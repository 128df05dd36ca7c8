package event

// drainEvents describes the codes 8xxx: lifecycle of upstreams and drain.
var drainEvents = map[Code]Entry{}

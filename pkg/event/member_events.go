package event

// memberEvents describes the codes 6xxx: membership of entry hosts.
var memberEvents = map[Code]Entry{}

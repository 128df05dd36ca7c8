package event

// invariantEvents describes the codes 10xxx: broken invariants; each stops the request concerned, not the process.
var invariantEvents = map[Code]Entry{}

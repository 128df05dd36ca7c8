package event

// measureEvents describes the codes 7xxx: measuring upstreams.
var measureEvents = map[Code]Entry{}

package event

// executionEvents describes the codes 9xxx: single execution of non-repeatable requests.
var executionEvents = map[Code]Entry{}

package event

// Codes 3xxx: requests.
const (
	RequestReceived Code = 3001
	UpstreamChosen  Code = 3002
	RequestAnswered Code = 3003
	RequestRefused  Code = 3004
	AttemptFailed   Code = 3005
	RequestUnknown  Code = 3006
	UpstreamEnded   Code = 3007
	QuarantineBegun Code = 3008
	QuarantineEnded Code = 3009
	RestAsked       Code = 3010
	RestUnreadable  Code = 3011
	LimitNamed      Code = 3012
	LimitEnded      Code = 3013
	LimitUnreadable Code = 3014
)

// requestEvents describes the codes 3xxx: requests.
var requestEvents = map[Code]Entry{
	RequestReceived: {"request-received", Debug, "A request arrived and matched a rule.", ""},
	UpstreamChosen:  {"upstream-chosen", Debug, "An upstream was chosen; the reason names the policy's ground.", "requests outstanding there"},
	RequestAnswered: {"request-answered", Debug, "The upstream's answer was passed to the caller.", "status"},
	RequestRefused:  {"request-refused", Info, "The request certainly did not run; the reason is the error kind.", "status"},
	AttemptFailed:   {"attempt-failed", Info, "One send to an upstream failed.", ""},
	QuarantineBegun: {"quarantine-begun", Warn, "A request is refused from now on, since upstreams ended one after another while they ran it; the detail says which, and the reason whether this host saw the last end or heard of it.", "upstreams that ended"},
	QuarantineEnded: {"quarantine-ended", Info, "A request is no longer refused: it was answered.", ""},
	UpstreamEnded:   {"upstream-ended", Info, "An upstream ended while it ran a request: the connection ended, and nothing listens there any more. The detail names the request, and what is the same when it comes again.", "time from the send to the end, microseconds"},
	RestAsked:       {"rest-asked", Info, "An upstream turned a request away and wants nothing more from this entry host for a time.", "milliseconds"},
	RestUnreadable:  {"rest-unreadable", Warn, "An upstream turned a request away and asked for rest in words that are no number of seconds; it counts as not having asked.", ""},
	LimitNamed:      {"limit-named", Info, "An upstream names how many requests a second it takes from all entry hosts together, for the first time or another number than before. The reason is what said so: an answer, a probe, a peer.", "requests in 1,000 s"},
	LimitEnded:      {"limit-ended", Info, "An upstream that had named a limit names none any more; the reason is what said so.", ""},
	LimitUnreadable: {"limit-unreadable", Warn, "An upstream named a limit that is no number of requests a second; it counts as not having said anything.", ""},
	RequestUnknown:  {"request-unknown", Warn, "The request may or may not have run; the caller was told so.", "status"},
}

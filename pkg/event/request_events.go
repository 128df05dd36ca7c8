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

	CrossingReasonChanged Code = 3015
	SuspectSent           Code = 3016
	QuarantinesLearned    Code = 3017
)

// requestEvents describes the codes 3xxx: requests.
var requestEvents = map[Code]Entry{
	RequestReceived:       {"request-received", Debug, "A request arrived and matched a rule.", ""},
	UpstreamChosen:        {"upstream-chosen", Debug, "An upstream was chosen; the reason states why the policy chose it.", "requests outstanding there"},
	RequestAnswered:       {"request-answered", Debug, "The upstream's response was passed to the caller.", "status"},
	RequestRefused:        {"request-refused", Info, "The request certainly did not run; the reason is the error kind.", "status"},
	AttemptFailed:         {"attempt-failed", Info, "One attempt at an upstream failed.", ""},
	QuarantineBegun:       {"quarantine-begun", Warn, "A request is refused from now on, because several upstreams crashed in succession while they ran it; the detail identifies the request. The reason states whether this host saw the last crash of an upstream under the request of one caller or learned of it from a peer, or any-caller: the request is refused whoever sends it.", "upstreams that ended"},
	QuarantineEnded:       {"quarantine-ended", Info, "A request is no longer refused, because an upstream answered it.", ""},
	UpstreamEnded:         {"upstream-ended", Info, "An upstream crashed while it ran a request: the connection closed, and nothing listens at its address any more. The reason is in-flight, or abandoned if the caller had left or the deadline had passed shortly before. The detail names the request, and what identifies it when it is repeated.", "time from the send to the end, microseconds"},
	RestAsked:             {"rest-asked", Info, "An upstream rejected a request and asked this entry host for a backoff.", "milliseconds"},
	RestUnreadable:        {"rest-unreadable", Warn, "An upstream rejected a request with a backoff that is not a number of seconds; the backoff is ignored.", ""},
	LimitNamed:            {"limit-named", Info, "An upstream announced how many requests per second it accepts from all entry hosts together, for the first time or with a new value. The reason is the source: a response, a probe or a peer.", "requests in 1,000 s"},
	LimitEnded:            {"limit-ended", Info, "An upstream that had announced a limit announces none any more; the reason is the source.", ""},
	LimitUnreadable:       {"limit-unreadable", Warn, "An upstream announced a limit that is not a number of requests per second; the limit is ignored.", ""},
	CrossingReasonChanged: {"crossing-reason-changed", Info, "Requests of a service go to another failure domain for a new reason: evacuated (no upstream of this host's domain accepts requests), gone (all of them failed recently) or none of both any more; the detail names the group, unless the service is registered, and the reason before. At most one in a second for each service, over all of its groups.", ""},
	SuspectSent:           {"suspect-sent", Info, "A request was sent although several upstreams have crashed under it, for any caller, since it was last answered: the conditions of a quarantine are not met on this host. The detail identifies the request.", "upstreams that ended"},
	QuarantinesLearned:    {"quarantines-learned", Info, "After a start or a suspension, this host knows which requests its peers refuse because upstreams crashed under them. The reason is peer (one that knows has told it) or alone (no peer knows more).", "milliseconds"},
	RequestUnknown:        {"request-unknown", Warn, "The request may or may not have run; the response to the caller says so.", "status"},
}

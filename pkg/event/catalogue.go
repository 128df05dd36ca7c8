package event

import "strconv"

// Event codes by subsystem: 1xxx process, 2xxx configuration, 3xxx requests,
// 4xxx retries, 5xxx limits, 6xxx membership, 7xxx measuring, 8xxx drain,
// 9xxx broken invariants.
const (
	ProcessStarted  Code = 1001
	ProcessReady    Code = 1002
	ProcessStopping Code = 1003
	ProcessStopped  Code = 1004

	ConfigApplied      Code = 2001
	ConfigRejected     Code = 2002
	PlatformUnreadable Code = 2003

	RequestReceived Code = 3001
	UpstreamChosen  Code = 3002
	RequestAnswered Code = 3003
	RequestRefused  Code = 3004
	AttemptFailed   Code = 3005
	RequestUnknown  Code = 3006

	RetrySent   Code = 4001
	RetryDenied Code = 4002
)

// Entry describes one code.
type Entry struct {
	// Name is the stable name in logs.
	Name string
	// Level is the log level.
	Level Level
	// Meaning is one sentence for operators.
	Meaning string
	// Unit is the unit of Event.Value; empty if unused.
	Unit string
}

// Catalogue describes every code.
var Catalogue = map[Code]Entry{
	ProcessStarted:  {"process-started", Info, "The process started and its settings were accepted.", ""},
	ProcessReady:    {"process-ready", Info, "The entry host has a configuration and takes requests.", ""},
	ProcessStopping: {"process-stopping", Info, "The entry host takes no new requests and finishes those in flight.", "requests in flight"},
	ProcessStopped:  {"process-stopped", Info, "The entry host stopped.", "requests cut off"},

	ConfigApplied:      {"config-applied", Info, "A published document is in force on this entry host.", "revision"},
	ConfigRejected:     {"config-rejected", Warn, "A published document is invalid; the one in force stays.", "revision"},
	PlatformUnreadable: {"platform-unreadable", Warn, "The configuration service gave no usable answer.", ""},

	RequestReceived: {"request-received", Debug, "A request arrived and matched a rule.", ""},
	UpstreamChosen:  {"upstream-chosen", Debug, "An upstream was chosen; the reason names the policy's ground.", "requests outstanding there"},
	RequestAnswered: {"request-answered", Debug, "The upstream's answer was passed to the caller.", "status"},
	RequestRefused:  {"request-refused", Info, "The request certainly did not run; the reason is the error kind.", "status"},
	AttemptFailed:   {"attempt-failed", Info, "One send to an upstream failed.", ""},
	RequestUnknown:  {"request-unknown", Warn, "The request may or may not have run; the caller was told so.", "status"},

	RetrySent:   {"retry-sent", Info, "A repeatable request is sent again.", ""},
	RetryDenied: {"retry-denied", Info, "A request is not sent again; the reason says which limit denied it.", ""},
}

// String returns the stable name of c, or its number if it is not catalogued.
func (c Code) String() string {
	if e, ok := Catalogue[c]; ok {
		return e.Name
	}
	return strconv.Itoa(int(c))
}

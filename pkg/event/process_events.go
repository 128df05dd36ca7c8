package event

// Codes 1xxx: the process.
const (
	ProcessStarted  Code = 1001
	ProcessReady    Code = 1002
	ProcessStopping Code = 1003
	ProcessStopped  Code = 1004
	LibraryMessage  Code = 1005
)

// processEvents describes the codes 1xxx: the process.
var processEvents = map[Code]Entry{
	ProcessStarted:  {"process-started", Info, "The process started and its settings were accepted.", ""},
	ProcessReady:    {"process-ready", Info, "The entry host has a configuration and takes requests.", ""},
	ProcessStopping: {"process-stopping", Info, "The entry host takes no new requests and finishes those in flight.", "requests in flight"},
	ProcessStopped:  {"process-stopped", Info, "The entry host stopped.", "requests cut off"},
	LibraryMessage:  {"library-message", Warn, "The event loop library reported a problem.", ""},
}

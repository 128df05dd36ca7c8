package event

// Codes 9xxx: at-most-once execution.
const (
	TicketIssued      Code = 9001
	TicketRefused     Code = 9002
	ExecutionStarted  Code = 9003
	ExecutionJoined   Code = 9004
	ExecutionReplayed Code = 9005
	ExecutionEnded    Code = 9006
	RequestForwarded  Code = 9007
	ForwardFailed     Code = 9008
	SendDenied        Code = 9009
	TicketsHandedOver Code = 9010
	TicketsAdopted    Code = 9011
	HandOverUnknown   Code = 9012
	TicketDenied      Code = 9013
)

// executionEvents describes the codes 9xxx: at-most-once execution of non-repeatable requests.
var executionEvents = map[Code]Entry{
	TicketIssued:      {"ticket-issued", Debug, "A ticket was offered to a caller.", "sequence number"},
	TicketRefused:     {"ticket-refused", Warn, "No ticket could be issued; the reason names the limit that was reached.", ""},
	ExecutionStarted:  {"execution-started", Debug, "A ticket was used for the first time; this host executes the request.", "sequence number"},
	ExecutionJoined:   {"execution-joined", Info, "A request was repeated while it executes; it waits for the same response.", "sequence number"},
	ExecutionReplayed: {"execution-replayed", Info, "A request was repeated and gets the recorded result; the reason is its outcome.", "sequence number"},
	ExecutionEnded:    {"execution-ended", Debug, "An execution ended; the reason is its outcome.", "sequence number"},
	RequestForwarded:  {"request-forwarded", Debug, "A request was forwarded to the entry host that issued its ticket, named in the detail.", ""},
	ForwardFailed:     {"forward-failed", Warn, "The issuer of a ticket did not respond; no other host executes the request.", ""},
	SendDenied:        {"send-denied", Info, "An attempt was denied because the request was already answered or its deadline passed.", "sequence number"},
	TicketsHandedOver: {"tickets-handed-over", Info, "A host that is shutting down handed its tickets over to the one host named in the detail.", "tickets"},
	TicketsAdopted:    {"tickets-adopted", Info, "This host took over the tickets of a host that is shutting down and executes them from now on.", "tickets"},
	HandOverUnknown:   {"hand-over-unknown", Warn, "The successor did not confirm the hand-over; no other host is tried.", "tickets"},
	TicketDenied:      {"ticket-denied", Info, "A ticket was not executed; the reason is the error kind.", "sequence number"},
}

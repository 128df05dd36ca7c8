package event

// Codes 2xxx: configuration.
const (
	ConfigApplied      Code = 2001
	ConfigRejected     Code = 2002
	PlatformUnreadable Code = 2003
)

// configEvents describes the codes 2xxx: configuration.
var configEvents = map[Code]Entry{
	ConfigApplied:      {"config-applied", Info, "A published document is in force on this entry host.", "revision"},
	ConfigRejected:     {"config-rejected", Warn, "A published document is invalid; the one in force stays.", "revision"},
	PlatformUnreadable: {"platform-unreadable", Warn, "The configuration service gave no usable answer.", ""},
}

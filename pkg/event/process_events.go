package event

// Codes 1xxx: the process.
const (
	ProcessStarted  Code = 1001
	ProcessReady    Code = 1002
	ProcessStopping Code = 1003
	ProcessStopped  Code = 1004
	LibraryMessage  Code = 1005

	CertificatesReloaded Code = 1006
	CertificatesRejected Code = 1007
	CertificateExpired   Code = 1008
	HandshakeFailed      Code = 1009

	SettingsReloaded Code = 1010
	SettingsRejected Code = 1011

	HostSuspended Code = 1012
)

// processEvents describes the codes 1xxx: the process.
var processEvents = map[Code]Entry{
	ProcessStarted:       {"process-started", Info, "The process started and its settings were accepted.", ""},
	ProcessReady:         {"process-ready", Info, "The entry host has a configuration and accepts requests.", ""},
	ProcessStopping:      {"process-stopping", Info, "The entry host accepts no new requests and finishes those in flight.", "requests in flight"},
	ProcessStopped:       {"process-stopped", Info, "The entry host stopped.", "requests cut off"},
	CertificatesReloaded: {"certificates-reloaded", Info, "Changed certificate files are in use.", ""},
	CertificatesRejected: {"certificates-rejected", Warn, "Changed certificate files can't be used; the old ones stay in use.", ""},
	CertificateExpired:   {"certificate-expired", Warn, "The local certificate had expired when the process started; the other side will refuse it.", ""},
	HandshakeFailed:      {"handshake-failed", Debug, "A caller's TLS handshake failed; no request was read.", ""},
	SettingsReloaded:     {"settings-reloaded", Info, "A changed settings file took effect.", ""},
	SettingsRejected:     {"settings-rejected", Warn, "A changed settings file is rejected as a whole; the current settings stay in effect, and the detail names the field.", ""},
	HostSuspended:        {"host-suspended", Warn, "The machine was suspended and runs again; the monotonic clock did not advance meanwhile. The state of this host is older by the duration of the suspension and is refreshed.", "milliseconds"},
	LibraryMessage:       {"library-message", Warn, "The event loop library reported a problem.", ""},
}

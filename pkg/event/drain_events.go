package event

// Codes 8xxx: lifecycle of upstreams, draining and graceful shutdown.
const (
	UpstreamLeaving     Code = 8001
	UpstreamDrained     Code = 8002
	UpstreamRevived     Code = 8003
	UpstreamNotRevived  Code = 8004
	UpstreamRemoved     Code = 8005
	UpstreamUnreachable Code = 8006
	UpstreamLeftInTime  Code = 8007
	ContactLost         Code = 8008
	ContactRegained     Code = 8009
	HostDraining        Code = 8010
	HostFinishing       Code = 8011
	HostCut             Code = 8012
	RelayOpened         Code = 8013
	RelayRejected       Code = 8014
	RequestRelayed      Code = 8015
)

// drainEvents describes the codes 8xxx: lifecycle of upstreams, draining and graceful shutdown.
var drainEvents = map[Code]Entry{
	UpstreamLeaving:     {"upstream-leaving", Info, "An upstream accepts no new requests; the reason is the source of the update.", "document revision"},
	UpstreamDrained:     {"upstream-drained", Info, "A leaving upstream has no request of this entry host in flight.", ""},
	UpstreamRevived:     {"upstream-revived", Info, "An update that takes precedence reactivated a leaving upstream.", "document revision"},
	UpstreamNotRevived:  {"upstream-not-revived", Warn, "A document lists an upstream as active that announced itself that it is leaving; raise its activation to reactivate it.", "document revision"},
	UpstreamRemoved:     {"upstream-removed", Info, "An upstream is no longer configured.", "document revision"},
	UpstreamUnreachable: {"upstream-unreachable", Warn, "Several consecutive connections to an upstream failed; other upstreams are preferred during the retry delay.", "document revision"},
	UpstreamLeftInTime:  {"upstream-left-in-time", Info, "An upstream began to leave after it was chosen and before the request was sent; another is chosen.", ""},
	ContactLost:         {"upstream-contact-lost", Warn, "Several different upstreams in a row could not be reached or did not respond, and none did meanwhile: this entry host is probably cut off from all of them.", ""},
	ContactRegained:     {"upstream-contact-regained", Info, "An upstream was reached again after upstream-contact-lost.", "ms without an upstream"},
	HostDraining:        {"host-draining", Info, "A graceful shutdown began: the entry host is not ready and still accepts requests during the grace period.", "requests in flight"},
	HostFinishing:       {"host-finishing", Info, "No new connections or requests are accepted; requests in flight finish.", "requests in flight"},
	HostCut:             {"host-cut", Warn, "A graceful shutdown ended early and aborted requests in flight.", "requests cut off"},
	RelayOpened:         {"relay-opened", Info, "This entry host relays a connection to an upstream for another one; the detail is the other host's address and port, which that host logs with each request on the connection.", ""},
	RelayRejected:       {"relay-rejected", Info, "This entry host does not relay a connection to an upstream for the host that the detail names; the reason states why.", ""},
	RequestRelayed:      {"request-relayed", Debug, "An attempt went to its upstream through another entry host; the detail is the address of that host, and this host's address and port of the connection.", ""},
}

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
	HostDraining        Code = 8010
	HostFinishing       Code = 8011
	HostCut             Code = 8012
)

// drainEvents describes the codes 8xxx: lifecycle of upstreams, draining and graceful shutdown.
var drainEvents = map[Code]Entry{
	UpstreamLeaving:     {"upstream-leaving", Info, "An upstream takes no new requests; the reason is the source of the news.", "document revision"},
	UpstreamDrained:     {"upstream-drained", Info, "A leaving upstream has no request of this entry host in flight.", ""},
	UpstreamRevived:     {"upstream-revived", Info, "News with more authority brought a leaving upstream back.", "document revision"},
	UpstreamNotRevived:  {"upstream-not-revived", Warn, "A document lists an upstream as active that left of its own; raise its activation to bring it back.", "document revision"},
	UpstreamRemoved:     {"upstream-removed", Info, "An upstream is no longer configured.", "document revision"},
	UpstreamUnreachable: {"upstream-unreachable", Warn, "Connections to an upstream failed in a row; others are preferred for a pause.", "document revision"},
	UpstreamLeftInTime:  {"upstream-left-in-time", Info, "An upstream left between the choice and the send; another is chosen.", ""},
	HostDraining:        {"host-draining", Info, "A planned stop began: not ready, still accepting during the grace.", "requests in flight"},
	HostFinishing:       {"host-finishing", Info, "Nothing new is accepted; requests in flight finish.", "requests in flight"},
	HostCut:             {"host-cut", Warn, "A planned stop ended early and cut requests off.", "requests cut off"},
}

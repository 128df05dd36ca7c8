package event

// Codes 2xxx: configuration.
const (
	ConfigApplied      Code = 2001
	ConfigRejected     Code = 2002
	PlatformUnreadable Code = 2003
	PlatformStale      Code = 2004
	ConfigConflict     Code = 2005
	ConfigReady        Code = 2006
	ConfigUnconfirmed  Code = 2007
	ConfigLearning     Code = 2008
	ConfigLearned      Code = 2009
	ConfigFallbackRead Code = 2010
	ConfigDamaged      Code = 2011
	ConfigSendDropped  Code = 2012

	StoreLost            Code = 2020
	StoreRegained        Code = 2021
	StoreHistoryLost     Code = 2022
	StoreItemRejected    Code = 2023
	ConfigurationInForce Code = 2024
	ConfigurationOld     Code = 2025
	UpstreamsRead        Code = 2026
	UpstreamRegistered   Code = 2027
	StoreWatchBehind     Code = 2028
	StorePeerSilent      Code = 2029
	StorePeerNewsRefused Code = 2030
	StorePeerTold        Code = 2031
	DomainEvacuated      Code = 2032
	DomainReturned       Code = 2033
	ServiceUnserved      Code = 2034
	CustomerUnserved     Code = 2035
	StoreStateOld        Code = 2036
)

// configEvents describes the codes 2xxx: configuration.
var configEvents = map[Code]Entry{
	ConfigApplied:        {"config-applied", Info, "A published document took effect on this entry host.", "revision"},
	ConfigRejected:       {"config-rejected", Warn, "A published document is invalid; the current one stays in effect.", "revision"},
	PlatformUnreadable:   {"platform-unreadable", Warn, "The configuration service returned no usable response.", ""},
	PlatformStale:        {"platform-stale", Warn, "The configuration service is behind the state of this entry host; nothing regresses to an older version.", "revision of the platform"},
	ConfigConflict:       {"config-conflict", Error, "One revision of a key was received with two different contents; the higher digest wins on every entry host.", "revision"},
	ConfigReady:          {"config-ready", Info, "The entry host has the state of its peers and may serve.", "frontier revision"},
	ConfigUnconfirmed:    {"config-unconfirmed", Error, "The entry host serves the configuration read from the platform although listed peers did not respond; it may be outdated.", "frontier revision"},
	ConfigLearning:       {"config-learning", Warn, "The entry host was paused and fetches the state of its peers before it acts.", ""},
	ConfigLearned:        {"config-learned", Info, "The entry host has caught up after a pause and acts again.", "frontier revision"},
	ConfigFallbackRead:   {"config-fallback-read", Info, "The entry host is not one of the designated readers but reads the platform, because it received no updates.", ""},
	ConfigDamaged:        {"config-damaged", Error, "A document from a peer did not match its digest and was dropped.", ""},
	StoreLost:            {"store-lost", Warn, "The store does not respond; the current state stays in effect. With the reason peer, calls of other hosts failed and this host does not call the store itself.", "revision known"},
	StoreRegained:        {"store-regained", Info, "The store responds again; with the reason peer, it responds to other hosts.", "ms without an answer"},
	StoreHistoryLost:     {"store-history-lost", Info, "The store no longer has the changes after the known revision; the full state is read again.", "revision known"},
	StoreItemRejected:    {"store-item-rejected", Warn, "A published item can't be decoded and is ignored; the detail names the field.", "revision"},
	ConfigurationInForce: {"configuration-in-force", Info, "A complete configuration took effect on this entry host.", "version"},
	ConfigurationOld:     {"configuration-old", Info, "A configuration that is not newer than the current one is ignored.", "version"},
	UpstreamsRead:        {"upstreams-read", Info, "All registered upstreams were read; with the reason part, enough of them to start serving.", "upstreams"},
	StoreWatchBehind:     {"store-watch-behind", Info, "A pending watch did not report a change that a check found; it is restarted.", "revision known"},
	StorePeerSilent:      {"store-peer-silent", Info, "A peer that announced a newer revision did not return the changes; the store is read.", "revision of the peer"},
	StoreStateOld:        {"store-state-old", Warn, "A full state, of the store or of a peer, is older than what this host knows and is not applied. If the store had really lost revisions, this would repeat until all entry hosts are started anew.", "revision"},
	StorePeerTold:        {"store-peer-told", Info, "Changes of the store received from a peer took effect; the reason is the peer's address.", "revision"},
	DomainEvacuated:      {"failure-domain-evacuated", Info, "A failure domain, named by the reason, receives no new requests from this entry host.", "its upstreams that are known"},
	DomainReturned:       {"failure-domain-returned", Info, "The evacuation of a failure domain, named by the reason, has ended on this entry host.", "its upstreams that are known"},
	StorePeerNewsRefused: {"store-peer-news-refused", Warn, "An update from a peer about the store can't be decoded and is ignored; the detail states the reason.", ""},
	ServiceUnserved:      {"service-unserved", Warn, "All requests of a service of the current configuration are refused; the detail states why.", "version"},
	CustomerUnserved:     {"customer-unserved", Warn, "All requests of a customer of the current configuration, named by the reason, are refused; the detail states why.", "version"},
	UpstreamRegistered:   {"upstream-registered", Info, "The entry of a registered upstream was added or changed; the reason is its state.", "revision"},

	ConfigSendDropped: {"config-send-dropped", Warn, "Messages to peers were dropped because too many were queued; the next comparison of states makes up for them.", "messages"},
}

package configsync

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Member is an entry host in the membership list.
type Member struct {
	// Address is its peer address, "IP:port".
	Address       string
	FailureDomain string
}

// Options are the settings of a Node. Zero fields take the default.
type Options struct {
	// Self is this host.
	Self Member
	// Rand is the source of randomness. Required.
	Rand *rand.Rand
	// ReadersPerDomain is the number of readers in a failure domain: hosts that
	// watch the platform. Default: 2.
	ReadersPerDomain int
	// FanOutInside and FanOutOutside are the numbers of peers to which a change is
	// announced, in the host's own failure domain and in others. Default: 3 and 1.
	FanOutInside, FanOutOutside int
	// NeighboursInside and NeighboursOutside bound the number of peers that this
	// host contacts, in its own failure domain and in others. Default: 12 and 8.
	NeighboursInside, NeighboursOutside int
	// SyncInterval is the mean time between comparisons with a random peer. Default: 1s.
	SyncInterval time.Duration
	// WatchWait is how long a reader's long poll waits for a change. Default: 2s.
	WatchWait time.Duration
	// WatchInterval is the minimum time between two calls of a reader. Default: 100ms.
	WatchInterval time.Duration
	// RetryDelay is the mean time between two calls while the platform does not
	// respond. Default: 1s.
	RetryDelay time.Duration
	// FallbackReadAfter is the time without confirmation by the platform after
	// which a host that is not a reader reads the platform itself. Default: 6s.
	FallbackReadAfter time.Duration
	// StartPeers is the number of peers that a starting host queries. Default: 16.
	StartPeers int
	// PeerTimeout is how long a starting host waits for one peer. Default: 1s.
	PeerTimeout time.Duration
	// SoloStartTimeout is the time after which a starting host serves although
	// listed peers did not respond. Negative: never. Default: 20s.
	SoloStartTimeout time.Duration
	// PauseThreshold is the gap between two calls of a Node above which the host
	// assumes that its process was paused. Default: 3s.
	PauseThreshold time.Duration
	// ResumeTimeout bounds how long a host that resumed after a pause waits for a
	// peer. Default: 2s.
	ResumeTimeout time.Duration
	// PageBytes is the size at which a reply is split into pages, in bytes. A page
	// may exceed it by one document. Default: 256 KiB.
	PageBytes int
}

// fallbackPerHost spaces the reads of hosts that are not readers. With n members
// each host reads once in n times this interval, so that the fleet stays below
// 50 reads a second.
const fallbackPerHost = 20 * time.Millisecond

// pageEntries is the number of keys in one page of an Index or Announce.
const pageEntries = 512

// maxPages bounds the pages of one reply; the next comparison transfers the rest.
const maxPages = 16

// rereadAfter is how long the platform must have been behind this host for the
// host to read the full state again once the platform has caught up.
const rereadAfter = 10 * time.Second

func (o Options) withDefaults() Options {
	o.ReadersPerDomain = cmp.Or(o.ReadersPerDomain, 2)
	o.FanOutInside = cmp.Or(o.FanOutInside, 3)
	o.FanOutOutside = cmp.Or(o.FanOutOutside, 1)
	o.NeighboursInside = cmp.Or(o.NeighboursInside, 12)
	o.NeighboursOutside = cmp.Or(o.NeighboursOutside, 8)
	o.SyncInterval = cmp.Or(o.SyncInterval, time.Second)
	o.WatchWait = cmp.Or(o.WatchWait, 2*time.Second)
	o.WatchInterval = cmp.Or(o.WatchInterval, 100*time.Millisecond)
	o.RetryDelay = cmp.Or(o.RetryDelay, time.Second)
	o.FallbackReadAfter = cmp.Or(o.FallbackReadAfter, 6*time.Second)
	o.StartPeers = cmp.Or(o.StartPeers, 16)
	o.PeerTimeout = cmp.Or(o.PeerTimeout, time.Second)
	o.SoloStartTimeout = cmp.Or(o.SoloStartTimeout, 20*time.Second)
	o.PauseThreshold = cmp.Or(o.PauseThreshold, 3*time.Second)
	o.ResumeTimeout = cmp.Or(o.ResumeTimeout, 2*time.Second)
	o.PageBytes = cmp.Or(o.PageBytes, 256<<10)
	return o
}

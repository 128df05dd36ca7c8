package configsync

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Member is an entry host as the membership knows it.
type Member struct {
	// Address is where its peers reach it, "IP:port".
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
}

// Options are the settings of a Node. Zero fields take the default.
type Options struct {
	// Self is this host.
	Self Member
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// ReadersPerDomain is the number of hosts of a failure domain that watch the
	// platform. Default: 2.
	ReadersPerDomain int
	// FanOutInside and FanOutOutside are the numbers of peers that hear of a
	// change at once, in the own failure domain and in others. Default: 3 and 1.
	FanOutInside, FanOutOutside int
	// NeighboursInside and NeighboursOutside bound the peers that this host
	// talks to, in its own failure domain and in others. Default: 12 and 8.
	NeighboursInside, NeighboursOutside int
	// SyncInterval is the mean time between comparisons with a random peer. Default: 1s.
	SyncInterval time.Duration
	// WatchWait is how long a watch of a reader waits for a change. Default: 2s.
	WatchWait time.Duration
	// WatchInterval is the least time between two calls of a reader. Default: 100ms.
	WatchInterval time.Duration
	// RetryDelay is the time between two calls of a reader when the platform
	// does not answer. Default: 1s.
	RetryDelay time.Duration
	// FallbackReadAfter is the time without confirmation by the platform after which a
	// host that is no reader reads for itself. Default: 6s.
	FallbackReadAfter time.Duration
	// StartPeers is the number of peers that a starting host asks. Default: 16.
	StartPeers int
	// PeerTimeout is how long a starting or waking host waits for one peer. Default: 1s.
	PeerTimeout time.Duration
	// SoloStartTimeout is the time after which a starting host serves although listed
	// peers did not answer. Negative: never. Default: 20s.
	SoloStartTimeout time.Duration
	// PauseThreshold is the silence of its own clock after which a host takes it
	// that it was paused. Default: 3s.
	PauseThreshold time.Duration
	// WakeTimeout bounds the time that a woken host waits for a peer. Default: 2s.
	WakeTimeout time.Duration
	// PageBytes is the size at which an answer is split, in bytes. One document
	// may exceed it. Default: 256 KiB.
	PageBytes int
}

// fallbackPerHost spaces the reads of hosts that are no readers: with n members
// each reads once in n times this, so that the fleet stays below 50 a second.
const fallbackPerHost = 20 * time.Millisecond

// pageEntries is the number of keys in one page of an index.
const pageEntries = 512

// maxPages bounds the pages of one answer; the next comparison brings the rest.
const maxPages = 16

// rereadAfter is how long the platform must have been behind this host before
// its recovery makes the host read everything once.
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
	o.WakeTimeout = cmp.Or(o.WakeTimeout, 2*time.Second)
	o.PageBytes = cmp.Or(o.PageBytes, 256<<10)
	return o
}

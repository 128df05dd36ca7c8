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
	// SyncEvery is the mean time between comparisons with a random peer. Default: 1s.
	SyncEvery time.Duration
	// WatchWait is how long a watch of a reader waits for a change. Default: 2s.
	WatchWait time.Duration
	// WatchPause is the least time between two calls of a reader. Default: 100ms.
	WatchPause time.Duration
	// RetryPause is the time between two calls of a reader when the platform
	// does not answer. Default: 1s.
	RetryPause time.Duration
	// FreshFor is the time without confirmation by the platform after which a
	// host that is no reader reads for itself. Default: 6s.
	FreshFor time.Duration
	// AskPeers is the number of peers that a starting host asks. Default: 16.
	AskPeers int
	// AskTimeout is how long a starting or waking host waits for one peer. Default: 1s.
	AskTimeout time.Duration
	// AloneAfter is the time after which a starting host serves although listed
	// peers did not answer. Negative: never. Default: 20s.
	AloneAfter time.Duration
	// PauseAfter is the silence of its own clock after which a host takes it
	// that it was paused. Default: 3s.
	PauseAfter time.Duration
	// WakeWait bounds the time that a woken host waits for a peer. Default: 2s.
	WakeWait time.Duration
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
	o.SyncEvery = cmp.Or(o.SyncEvery, time.Second)
	o.WatchWait = cmp.Or(o.WatchWait, 2*time.Second)
	o.WatchPause = cmp.Or(o.WatchPause, 100*time.Millisecond)
	o.RetryPause = cmp.Or(o.RetryPause, time.Second)
	o.FreshFor = cmp.Or(o.FreshFor, 6*time.Second)
	o.AskPeers = cmp.Or(o.AskPeers, 16)
	o.AskTimeout = cmp.Or(o.AskTimeout, time.Second)
	o.AloneAfter = cmp.Or(o.AloneAfter, 20*time.Second)
	o.PauseAfter = cmp.Or(o.PauseAfter, 3*time.Second)
	o.WakeWait = cmp.Or(o.WakeWait, 2*time.Second)
	o.PageBytes = cmp.Or(o.PageBytes, 256<<10)
	return o
}

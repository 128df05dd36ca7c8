// Package relay chooses the entry host through which a host that is cut off from an upstream
// connects to it.
//
// It does no I/O and reads no clock: callers pass the time and random numbers, and report what
// became of each try.
package relay

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Peer is an entry host that may relay connections.
type Peer struct {
	// Address is the address of its peer transport.
	Address netip.AddrPort
	// FailureDomain is where it runs.
	FailureDomain string
}

// Failure is the reason why a peer did not relay a connection.
type Failure uint8

// The failures of a try.
const (
	// Unreachable means that the peer did not respond, or that its connections hang.
	Unreachable Failure = iota
	// CutOff means that the peer does not reach upstreams either.
	CutOff
	// Rejected means that the peer does not know this host, or leaves the fleet.
	Rejected
	// Busy means that the peer relays as many connections as it can.
	Busy
	// Unsupported means that the peer's version does not relay connections.
	Unsupported
	// UpstreamUnreachable means that the peer, which reaches others, did not reach the upstream.
	UpstreamUnreachable
	// UpstreamRefused means that connections to the upstream are refused at the peer too.
	UpstreamRefused
)

var failureNames = [...]string{
	"unreachable", "cut-off", "rejected", "busy", "unsupported", "upstream-unreachable", "upstream-refused",
}

// String returns the name of f, as logs have it.
func (f Failure) String() string { return failureNames[f] }

// AboutUpstream reports whether f says something about the upstream and not about the peer.
func (f Failure) AboutUpstream() bool { return f == UpstreamUnreachable || f == UpstreamRefused }

// cooldowns are the times for which a peer is not chosen after a failure. A peer that is cut off or
// unreachable is tried again about as often as links heal; a busy one when some of its connections
// may have ended; one of an older version when it may have been updated.
var cooldowns = map[Failure]time.Duration{
	Unreachable: time.Second,
	CutOff:      time.Second,
	Rejected:    time.Second,
	Busy:        200 * time.Millisecond,
	Unsupported: 30 * time.Second,
}

// doubtTime is how long other peers are preferred to one that did not reach an upstream: it may be
// cut off from the whole service.
const doubtTime = 3 * time.Second

const (
	// candidates is the number of peers in a failure domain that are compared. The one through
	// which this host has the fewest connections is chosen, so that none gets much more than its
	// share.
	candidates = 2
	// searched bounds how many peers are looked at to find the candidates, so that a choice costs
	// the same in a large fleet.
	searched = 16
)

// Choice chooses among the peers of one host. It is not safe for concurrent use.
type Choice struct {
	local, remote []Peer                       // of this host's failure domain, and of the others
	until         map[netip.AddrPort]time.Time // the end of each peer's cooldown
	doubtful      map[netip.AddrPort]time.Time // the end of the time in which others are preferred
	open          map[netip.AddrPort]int
}

// NewChoice returns a Choice without peers.
func NewChoice() *Choice {
	return &Choice{until: make(map[netip.AddrPort]time.Time), doubtful: make(map[netip.AddrPort]time.Time), open: make(map[netip.AddrPort]int)}
}

// SetPeers replaces the peers of a host in the given failure domain. Peers without a known domain
// count as remote.
func (c *Choice) SetPeers(failureDomain string, peers []Peer) {
	c.local, c.remote = nil, nil
	known := make(map[netip.AddrPort]bool, len(peers))
	for _, p := range peers {
		known[p.Address] = true
		if p.FailureDomain == failureDomain {
			c.local = append(c.local, p)
		} else {
			c.remote = append(c.remote, p)
		}
	}
	gone := func(address netip.AddrPort, _ time.Time) bool { return !known[address] }
	maps.DeleteFunc(c.until, gone)
	maps.DeleteFunc(c.doubtful, gone)
}

// Pick returns the peer for the next try. Tried are the peers of the tries before. The first try
// goes to this host's failure domain, which is near. The tries alternate between it and the
// others, because a cut often affects all hosts of a domain. It returns false if no peer is left.
func (c *Choice) Pick(now time.Time, random func(n int) int, tried []netip.AddrPort) (Peer, bool) {
	near, far := c.local, c.remote
	if len(tried)%2 == 1 {
		near, far = far, near
	}
	usable := func(p Peer) bool { return !c.InCooldown(now, p.Address) && !slices.Contains(tried, p.Address) }
	preferred := func(p Peer) bool { return usable(p) && !c.doubtful[p.Address].After(now) }
	for _, try := range []struct {
		peers []Peer
		ok    func(Peer) bool
	}{{near, preferred}, {far, preferred}, {near, usable}, {far, usable}} {
		if p, ok := c.pickFrom(try.peers, random, try.ok); ok {
			return p, true
		}
	}
	return Peer{}, false
}

// pickFrom returns the one of a few peers through which this host has the fewest connections.
func (c *Choice) pickFrom(peers []Peer, random func(n int) int, ok func(Peer) bool) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	var best Peer
	found := 0
	start := random(len(peers))
	for i := 0; i < min(len(peers), searched) && found < candidates; i++ {
		p := peers[(start+i)%len(peers)]
		if !ok(p) {
			continue
		}
		if found == 0 || c.open[p.Address] < c.open[best.Address] {
			best = p
		}
		found++
	}
	return best, found > 0
}

// InCooldown reports whether a peer failed recently.
func (c *Choice) InCooldown(now time.Time, peer netip.AddrPort) bool { return c.until[peer].After(now) }

// Failed records that a try at a peer failed.
func (c *Choice) Failed(now time.Time, peer netip.AddrPort, f Failure) {
	if f.AboutUpstream() {
		c.doubtful[peer] = now.Add(doubtTime)
		return
	}
	c.until[peer] = now.Add(cooldowns[f])
}

// Opened records a connection through a peer.
func (c *Choice) Opened(peer netip.AddrPort) { c.open[peer]++ }

// Closed records the end of a connection through a peer.
func (c *Choice) Closed(peer netip.AddrPort) {
	if c.open[peer]--; c.open[peer] <= 0 {
		delete(c.open, peer)
	}
}

// HasOpen reports whether there are connections through a peer.
func (c *Choice) HasOpen(peer netip.AddrPort) bool { return c.open[peer] > 0 }

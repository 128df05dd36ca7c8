package configsync

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// peerStatus is the progress of a starting host's exchange with one peer.
type peerStatus uint8

const (
	statusUnknown peerStatus = iota
	statusRequested
	statusFailed
	statusSyncedStarting // states are equal; the peer does not serve yet
	statusSyncedReady    // states are equal; the peer serves
)

// bootstrap synchronizes a starting host until it may serve. It queries peers of
// all failure domains, one domain after the other: first a single peer, which
// sends its full state, then all others at once, which send the differences.
type bootstrap struct {
	done         bool
	membersKnown bool
	peers        []Member
	status       map[string]peerStatus
	retryAt      map[string]time.Time
}

// setMembers applies a new member list. The status of known peers is kept.
func (b *bootstrap) setMembers(now time.Time, n *Node) {
	b.membersKnown = true
	if b.done {
		return
	}
	b.peers = interleaveDomains(n.opt, n.members)
	b.peers = b.peers[:min(len(b.peers), n.opt.StartPeers)]
	if b.status == nil {
		b.status = make(map[string]peerStatus)
		b.retryAt = make(map[string]time.Time)
	}
	b.step(now, n)
}

// step queries the peers that are due and decides whether the host may serve.
func (b *bootstrap) step(now time.Time, n *Node) {
	if b.done {
		return
	}
	for _, m := range b.peers {
		if b.synced(m.Address) {
			continue
		}
		if now.After(b.retryAt[m.Address]) {
			b.request(now, n, m.Address)
		}
		if !b.anySynced() && b.status[m.Address] == statusRequested {
			break
		}
	}
	b.decide(now, n)
}

// request starts a comparison with a peer. A peer that was queried before counts
// as failed until it responds; the host then continues with the next peer.
func (b *bootstrap) request(now time.Time, n *Node, to string) {
	if b.status[to] == statusUnknown {
		b.status[to] = statusRequested
	} else {
		b.status[to] = statusFailed
	}
	b.retryAt[to] = now.Add(n.opt.PeerTimeout)
	n.send(to, n.summary(now, true))
}

// markSynced records that this host has the same state as a peer.
func (b *bootstrap) markSynced(now time.Time, n *Node, from string, ready bool) {
	if b.done || b.status == nil {
		return
	}
	first := !b.anySynced()
	b.status[from] = statusSyncedStarting
	if ready {
		b.status[from] = statusSyncedReady
	}
	if first {
		b.step(now, n)
		return
	}
	b.decide(now, n)
}

// PeerFailed reports that a peer could not be reached, so that a starting host
// does not wait for it.
func (n *Node) PeerFailed(now time.Time, address string) Effects {
	n.detectPause(now)
	if !n.bootstrap.done && n.bootstrap.status[address] == statusRequested {
		n.bootstrap.status[address] = statusFailed
		n.bootstrap.step(now, n)
	}
	return n.takeEffects()
}

func (b *bootstrap) synced(address string) bool {
	return b.status[address] >= statusSyncedStarting
}

func (b *bootstrap) anySynced() bool {
	for _, s := range b.status {
		if s >= statusSyncedStarting {
			return true
		}
	}
	return false
}

func (b *bootstrap) decide(now time.Time, n *Node) {
	if b.done || n.confirmedAt.IsZero() {
		return
	}
	switch {
	case b.membersKnown && b.all(b.synced):
		b.finish(n, event.ConfigReady, "every listed peer answered")
	case b.membersKnown && b.allResolved() && b.enoughReady(n.members):
		b.finish(n, event.ConfigReady, "peers that serve answered")
	case n.opt.SoloStartTimeout >= 0 && now.Sub(n.started) >= n.opt.SoloStartTimeout:
		b.finish(n, event.ConfigUnconfirmed, "listed peers did not answer")
	}
}

func (b *bootstrap) all(is func(string) bool) bool {
	return !slices.ContainsFunc(b.peers, func(m Member) bool { return !is(m.Address) })
}

// allResolved reports whether each peer to query has responded or failed.
func (b *bootstrap) allResolved() bool {
	return b.all(func(a string) bool { return b.status[a] >= statusFailed })
}

// enoughReady reports whether this host has the same state as serving peers in
// two failure domains, or in one if the member list has only one.
func (b *bootstrap) enoughReady(members []Member) bool {
	listed := make(map[string]bool)
	ready := make(map[string]bool)
	for _, m := range members {
		listed[m.FailureDomain] = true
		if b.status[m.Address] == statusSyncedReady {
			ready[m.FailureDomain] = true
		}
	}
	return len(ready) > 0 && len(ready) >= min(2, len(listed))
}

func (b *bootstrap) finish(n *Node, code event.Code, reason string) {
	b.done = true
	b.peers, b.status, b.retryAt = nil, nil, nil
	n.event(event.Event{Code: code, Reason: reason, Value: int64(n.state.Frontier())})
	n.out.InForce = true
}

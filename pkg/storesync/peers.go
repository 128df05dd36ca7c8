package storesync

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// fetchRetryDelay is the pause before the next peer is asked.
	fetchRetryDelay = 50 * time.Millisecond
	// busyRetryDelay is the mean pause before another peer is asked for the full state after
	// one was busy.
	busyRetryDelay = 100 * time.Millisecond
	// maxStartWait bounds how long a starting host waits for its peers to provide everything
	// but the initial part of the state. On the known platforms the first requests arrive eight
	// seconds after the first start.
	maxStartWait = 5 * time.Second
	// maxBusyDeferrals is how many times a host postpones reading the store because peers are
	// busy serving others.
	maxBusyDeferrals = 5
)

// ApplyPeerRecovery records that a peer saw a store outage end at the time given by returned.
// It must be called before the changes of the same message are applied.
func (c *Core) ApplyPeerRecovery(now, returned time.Time) Effects {
	c.announceRecovery(returned)
	return c.step(now)
}

// ApplyPeerUpdate applies an update from a peer. If the message contained the changes that
// this host lacks, known is their revision, and they have been applied already; otherwise
// known is 0.
func (c *Core) ApplyPeerUpdate(now time.Time, from Host, n Update, known uint64) Effects {
	if !c.complete {
		return c.step(now)
	}
	before := c.knowledge()
	c.applyFailedCalls(now, n.FailedCalls)
	c.learn(known)
	c.observeRevision(now, n.Revision, n.AsOf, from.Address)
	c.arrived(from, n.Tree)
	c.propagate(now, before)
	return c.step(now)
}

// fetchDue returns when a peer is to be asked, and false if no fetch is needed. A host
// fetches the full state at the start, changes that a peer announced, and confirmation that
// nothing has changed when it has not received any for long.
func (c *Core) fetchDue() (time.Time, bool) {
	switch {
	case c.fetching:
		return time.Time{}, false
	case !c.complete:
		return c.nextFetch, len(c.ranks.others) > 0
	case c.behind():
		return c.nextFetch, c.pending.peer.IsValid()
	}
	_, known := c.ranks.ancestor(0)
	due := later(c.effectiveAsOf().Add(c.share(c.ranks.fetchShare())), c.nextFetch)
	if c.verifiedAsOf.Equal(c.asOf) {
		due = later(due, c.verifiedAt.Add(c.share(verifyInterval))) // the last peer asked knew nothing newer
	}
	return due, known
}

// stepFetch fetches from a peer if a fetch is due.
func (c *Core) stepFetch(now time.Time) {
	due, wanted := c.fetchDue()
	if !wanted || now.Before(due) {
		return
	}
	switch {
	case !c.complete:
		c.fetch(c.randomPeer())
	case c.behind():
		c.fetch(c.pending.peer)
	default:
		c.verify(now)
	}
}

// remoteFetchShare is the fraction of initial fetches that go to any host instead of one in
// the same failure domain: traffic between domains is expensive, but all hosts of a domain
// may still be without state.
const remoteFetchShare = 0.25

// randomPeer draws a host at random: where all hosts start at once, this spreads the load over
// those that have state.
func (c *Core) randomPeer() netip.AddrPort {
	from := c.ranks.others
	if len(c.ranks.domainPeers) > 0 && c.conf.Jitter() >= remoteFetchShare {
		from = c.ranks.domainPeers
	}
	return from[min(int(c.conf.Jitter()*float64(len(from))), len(from)-1)]
}

// verifyInterval is the pause before another ancestor is asked for the same confirmation, as
// a fraction of MaxChangeDelay.
const verifyInterval = 0.1

// verify asks whether this host has missed an update: first its parent in the distribution
// order, then, as long as that yields nothing newer, further ancestors up to the first host
// of the fleet.
func (c *Core) verify(now time.Time) {
	if !c.verifiedAsOf.Equal(c.asOf) {
		c.ancestorsAsked = 0
	}
	peer, _ := c.ranks.ancestor(c.ancestorsAsked)
	c.ancestorsAsked++
	c.verifiedAsOf, c.verifiedAt = c.asOf, now
	c.fetch(peer)
}

func (c *Core) fetch(peer netip.AddrPort) {
	c.fetching = true
	c.out.Fetch = &PeerFetch{Peer: peer, After: c.revision}
	if c.behind() {
		c.out.Fetch.ExtraTimeout = c.extraTimeout(c.pending.revision - c.revision)
	}
}

// FetchDone reports the result of Effects.Fetch. The state or changes of the peer have been
// applied already. AsOf and RecoveredAt of n are by this host's clock.
func (c *Core) FetchDone(now time.Time, from Host, n Update, err error) Effects {
	c.fetching = false
	if err != nil {
		c.peerFailed(now, from, err)
		return c.step(now)
	}
	before := c.knowledge()
	if !c.complete && n.Revision <= c.revision && n.AsOf.Before(c.missedAt) {
		c.nextFetch = now.Add(fetchRetryDelay) // this peer lacks the same changes
		return c.step(now)
	}
	c.complete = true
	c.learn(n.Revision)
	c.confirm(n.AsOf)
	c.propagate(now, before)
	return c.step(now)
}

// ErrBusy is returned by a peer that is busy serving other hosts.
var ErrBusy = errors.New("the peer answers others first")

// peerFailed handles a failed fetch. Changes that no peer provides are read from the store. A
// starting host that finds its peers busy postpones its own read of the store.
func (c *Core) peerFailed(now time.Time, from Host, err error) {
	c.nextFetch = now.Add(fetchRetryDelay)
	if !c.complete {
		pause := time.Duration((half + c.conf.Jitter()) * float64(busyRetryDelay))
		if errors.Is(err, ErrBusy) && now.Before(c.startedAt.Add(maxStartWait)) {
			c.nextFetch = now.Add(pause)
			c.firstReadAt = later(c.firstReadAt, now.Add(maxStartWait/maxBusyDeferrals))
		}
		return
	}
	if !c.behind() {
		return
	}
	if c.pending.backup.IsValid() && c.pending.backup != from.Address {
		c.pending.peer, c.pending.backup = c.pending.backup, netip.AddrPort{}
		c.nextFetch = now
		return
	}
	c.emit(event.StorePeerSilent, event.Event{Detail: err.Error(), Reason: from.Address.String(), Value: int64(c.pending.revision)})
	c.pending.peer = netip.AddrPort{}
}

// knowledge is the state of a Core that a peer's message may change.
type knowledge struct {
	revision            uint64
	asOf, effectiveAsOf time.Time
}

func (c *Core) knowledge() knowledge {
	return knowledge{revision: c.revision, asOf: c.asOf, effectiveAsOf: c.effectiveAsOf()}
}

// propagate handles the effects of a peer's message and forwards it.
func (c *Core) propagate(now time.Time, before knowledge) {
	if c.asOf.After(before.asOf) {
		c.storeAnsweredPeer(now, before.asOf)
	}
	c.forwardUpdates()
}

// storeAnsweredPeer records that the store answers a peer, possibly the first one since the
// outage began. If the store refuses only this host, it answers peers soon after this host
// lost it; that does not end the outage of this host.
func (c *Core) storeAnsweredPeer(now, previousAsOf time.Time) {
	c.endReportedOutage(now)
	outage := now.Sub(c.lostAt)
	if c.lostAt.IsZero() || previousAsOf.After(c.lostAt) || outage < c.conf.MinOutage {
		return
	}
	c.lostAt = time.Time{}
	c.clearedAt = now
	c.failures = 0
	c.nextCall = now
	c.emit(event.StoreRegained, event.Event{Reason: reasonPeer, Value: outage.Milliseconds()})
}

// broadcast sends what the store returned to all hosts.
func (c *Core) broadcast() {
	if c.behind() {
		return
	}
	c.out.SendUpdate = c.ranks.broadcastRoutes()
}

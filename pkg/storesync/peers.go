package storesync

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// askPause is the pause before the next peer is asked.
	askPause = 50 * time.Millisecond
	// busyPause is the mean pause before another one is asked for everything, where the first
	// answered others.
	busyPause = 100 * time.Millisecond
	// longestStart bounds the time in which a host that starts leaves everything but the
	// first part to its peers. The platforms known send requests eight seconds after the first
	// start.
	longestStart = 5 * time.Second
	// busyTries is how many times a host puts off reading the store as long as peers answer
	// others.
	busyTries = 5
)

// ApplyPeerRecovery takes in that a peer saw the end of an outage of the store. It goes
// before what the same message says of changes.
func (c *Core) ApplyPeerRecovery(now, returned time.Time) Effects {
	c.hasReturned(returned)
	return c.step(now)
}

// ApplyPeerUpdate takes in what a peer tells. If the message brought the changes that this
// host lacks, known is their revision, and they are in force already; else 0.
func (c *Core) ApplyPeerUpdate(now time.Time, from Host, n Update, known uint64) Effects {
	if !c.complete {
		return c.step(now)
	}
	before := c.known()
	c.heardUnanswered(now, n.FailedCalls)
	c.learn(known)
	c.await(now, n.Revision, n.AsOf, from.Address)
	c.arrived(from, n.Tree)
	c.spread(now, before)
	return c.step(now)
}

// askDue returns when a peer is to be asked, and false if none has to be: for
// everything at the start, for what it told of, or because no one has told this
// host for long that nothing has changed.
func (c *Core) askDue() (time.Time, bool) {
	switch {
	case c.asking:
		return time.Time{}, false
	case !c.complete:
		return c.nextAsk, len(c.ranks.others) > 0
	case c.awaits():
		return c.nextAsk, c.awaited.peer.IsValid()
	}
	_, known := c.ranks.superior(0)
	due := later(c.excused().Add(c.share(c.ranks.askShare())), c.nextAsk)
	if c.doubted.Equal(c.fresh) {
		due = later(due, c.doubtedAt.Add(c.share(askAgain))) // that one knew no more
	}
	return due, known
}

// stepAsk asks a peer.
func (c *Core) stepAsk(now time.Time) {
	due, wanted := c.askDue()
	if !wanted || now.Before(due) {
		return
	}
	switch {
	case !c.complete:
		c.ask(c.anyPeer())
	case c.awaits():
		c.ask(c.awaited.peer)
	default:
		c.doubt(now)
	}
}

// elsewhere is the share of the questions at the start that go to any host, and not to one of
// the own failure domain: bytes between domains are dear, and a domain may know nothing yet.
const elsewhere = 0.25

// anyPeer draws a host: where all start at once, those that know something are asked alike.
func (c *Core) anyPeer() netip.AddrPort {
	from := c.ranks.others
	if len(c.ranks.domain) > 0 && c.conf.Jitter() >= elsewhere {
		from = c.ranks.domain
	}
	return from[min(int(c.conf.Jitter()*float64(len(from))), len(from)-1)]
}

// askAgain is the pause, as a share of the time for a change, before another host is asked
// for the same thing.
const askAgain = 0.1

// doubt asks whether all is told: the host that is told before this one, and then, as long as
// that brings nothing, those that are told before that one, up to the first one known.
func (c *Core) doubt(now time.Time) {
	if !c.doubted.Equal(c.fresh) {
		c.climbed = 0
	}
	peer, _ := c.ranks.superior(c.climbed)
	c.climbed++
	c.doubted, c.doubtedAt = c.fresh, now
	c.ask(peer)
}

func (c *Core) ask(peer netip.AddrPort) {
	c.asking = true
	c.out.Fetch = &PeerFetch{Peer: peer, After: c.revision}
	if c.awaits() {
		c.out.Fetch.ExtraTimeout = c.largeAnswer(c.awaited.revision - c.revision)
	}
}

// FetchDone gives the result of Effects.Fetch. What the peer told is in force
// already. Fresh and Returned of n are by this host's clock.
func (c *Core) FetchDone(now time.Time, from Host, n Update, err error) Effects {
	c.asking = false
	if err != nil {
		c.peerFailed(now, from, err)
		return c.step(now)
	}
	before := c.known()
	if !c.complete && n.Revision <= c.revision && n.AsOf.Before(c.missedAt) {
		c.nextAsk = now.Add(askPause) // that one lacks the same changes
		return c.step(now)
	}
	c.complete = true
	c.learn(n.Revision)
	c.confirm(n.AsOf)
	c.spread(now, before)
	return c.step(now)
}

// ErrBusy says that a peer has others to answer first.
var ErrBusy = errors.New("the peer answers others first")

// peerFailed goes on without a peer: the store has what it would have told. Where everything
// is handed on among hosts that start, one that finds them busy waits for its turn.
func (c *Core) peerFailed(now time.Time, from Host, err error) {
	c.nextAsk = now.Add(askPause)
	if !c.complete {
		pause := time.Duration((half + c.conf.Jitter()) * float64(busyPause))
		if errors.Is(err, ErrBusy) && now.Before(c.begunAt.Add(longestStart)) {
			c.nextAsk = now.Add(pause)
			c.startAt = later(c.startAt, now.Add(longestStart/busyTries))
		}
		return
	}
	if !c.awaits() {
		return
	}
	if c.awaited.spare.IsValid() && c.awaited.spare != from.Address {
		c.awaited.peer, c.awaited.spare = c.awaited.spare, netip.AddrPort{}
		c.nextAsk = now
		return
	}
	c.emit(event.StorePeerSilent, event.Event{Detail: err.Error(), Reason: from.Address.String(), Value: int64(c.awaited.revision)})
	c.awaited.peer = netip.AddrPort{}
}

// known is what a message may have changed.
type known struct {
	revision       uint64
	fresh, excused time.Time
}

func (c *Core) known() known {
	return known{revision: c.revision, fresh: c.fresh, excused: c.excused()}
}

// spread passes on what came from a peer.
func (c *Core) spread(now time.Time, before known) {
	if c.fresh.After(before.fresh) {
		c.answersOthers(now, before.fresh)
	}
	c.passOnNews()
}

// answersOthers takes in that the store answers a peer, who may be the first it
// answers since it went away. A store that turns only this host away answers the
// peers soon after it was lost, and stays lost here.
func (c *Core) answersOthers(now, fresh time.Time) {
	c.believeAnswer(now)
	outage := now.Sub(c.away)
	if c.away.IsZero() || fresh.After(c.away) || outage < c.conf.MinOutage {
		return
	}
	c.away = time.Time{}
	c.cleared = now
	c.failures = 0
	c.nextCall = now
	c.emit(event.StoreRegained, event.Event{Reason: byPeers, Value: outage.Milliseconds()})
}

// tellAll tells everyone what the store told this host.
func (c *Core) tellAll() {
	if c.awaits() {
		return
	}
	c.out.SendUpdate = c.ranks.everyone()
}

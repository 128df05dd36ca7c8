package follow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// askPause is the pause before the next peer is asked.
const askPause = 50 * time.Millisecond

// HeardReturn takes in that a peer saw the end of an outage of the store. It goes
// before what the same message says of changes.
func (c *Core) HeardReturn(now, returned time.Time) Effects {
	c.hasReturned(returned)
	return c.step(now)
}

// Heard takes in what a peer tells. If the message brought the changes that this
// host lacks, known is their revision, and they are in force already; else 0.
func (c *Core) Heard(now time.Time, from Host, n News, known uint64) Effects {
	if !c.complete {
		return c.step(now)
	}
	before := c.known()
	c.heardUnanswered(now, n.Unanswered)
	c.learn(known)
	c.await(now, n.Revision, n.Fresh, from.Address)
	c.spread(now, from, before)
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
		return c.nextAsk, c.revision == 0 && len(c.ranks.others) > 0
	case c.awaits():
		return c.nextAsk, c.awaited.peer.IsValid()
	}
	_, known := c.ranks.superior()
	due := later(c.excused().Add(c.share(c.ranks.askShare())), c.nextAsk)
	if c.doubted.Equal(c.fresh) && c.doubtedFirst {
		due = later(due, c.doubtedAt.Add(c.share(askAgain))) // the first one knew no more
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
		c.contact++
		c.ask(c.ranks.others[c.contact%len(c.ranks.others)])
	case c.awaits():
		c.ask(c.awaited.peer)
	default:
		c.doubt(now)
	}
}

// soonAgain is the time after a question, as a share of the time for a change, in
// which the next one goes to the first host known: the answer was not fresh enough.
const soonAgain = 0.2

// askAgain is the pause, as the same share, before the first host known is asked
// again that knew nothing newer.
const askAgain = 0.15

// doubt asks whether all is told: the host that is told before this one, or the
// first one known if that one knows little more.
func (c *Core) doubt(now time.Time) {
	peer, _ := c.ranks.superior()
	if now.Sub(c.doubtedAt) < c.share(soonAgain) {
		peer = c.ranks.others[0]
	}
	c.doubted, c.doubtedAt = c.fresh, now
	c.doubtedFirst = peer == c.ranks.others[0]
	c.ask(peer)
}

func (c *Core) ask(peer netip.AddrPort) {
	c.asking = true
	c.out.Ask = &Ask{Peer: peer, After: c.revision}
}

// AskDone gives the result of Effects.Ask. What the peer told is in force
// already. Fresh and Returned of n are by this host's clock.
func (c *Core) AskDone(now time.Time, from Host, n News, err error) Effects {
	c.asking = false
	if err != nil {
		c.peerFailed(now, from, err)
		return c.step(now)
	}
	before := c.known()
	c.complete = true
	c.learn(n.Revision)
	c.confirm(n.Fresh)
	c.spread(now, from, before)
	return c.step(now)
}

// peerFailed goes on without a peer: the store has what it would have told.
func (c *Core) peerFailed(now time.Time, from Host, err error) {
	c.nextAsk = now.Add(askPause)
	if !c.complete || !c.awaits() {
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

// spread passes on, within this host's failure domain, what another domain told
// its first host.
func (c *Core) spread(now time.Time, from Host, before known) {
	if c.fresh.After(before.fresh) {
		c.answersOthers(now, before.fresh)
	}
	if from.FailureDomain == c.ranks.self.FailureDomain || c.ranks.place != 0 {
		return
	}
	switch {
	case c.revision > before.revision || c.fresh.After(before.fresh):
		c.out.Tell = c.ranks.domain
	case c.excused().After(before.excused.Add(c.share(passOn))):
		c.out.Warn = c.ranks.domain
	}
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
	c.out.Tell = c.everyone()
}

// everyone returns the own failure domain, and the first hosts of the others.
func (c *Core) everyone() []netip.AddrPort {
	return slices.Concat(c.ranks.domain, c.ranks.heads)
}

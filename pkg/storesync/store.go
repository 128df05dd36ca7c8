package storesync

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// ErrHistoryLost says that the store no longer has all changes after a revision;
// everything must be read anew.
var ErrHistoryLost = errors.New("the store no longer has the history")

// watches reports whether this host keeps a watch at the store.
func (c *Core) watches() bool { return c.ranks.first && c.ranks.settled && c.away.IsZero() }

// stepRead reads everything, once the peers have had their time to answer.
func (c *Core) stepRead(now time.Time) {
	if c.call != idle || now.Before(c.startAt) || now.Before(c.nextCall) {
		return
	}
	c.begin(now, reading)
}

// stepWatch keeps a watch on the first host of the fleet, and begins one anew
// that missed a change. Another host that lacks a change fetches it by a watch
// that does not wait; the store may keep that one waiting all the same.
func (c *Core) stepWatch(now time.Time) {
	switch {
	case c.watch == nil:
		c.stepNewWatch(now)
	case c.stopping:
	case !c.watch.LongPoll && !now.Before(c.fetchedBy()):
		c.endWatch()
	case c.watch.LongPoll && c.awaits() && !now.Before(c.awaited.since.Add(c.conf.MaxWatchDelay)):
		c.endWatch()
		c.emit(event.StoreWatchBehind, event.Event{Value: int64(c.revision)})
	case c.watch.LongPoll && !c.watches():
		c.endWatch()
	}
}

func (c *Core) stepNewWatch(now time.Time) {
	switch {
	case !c.away.IsZero():
	case c.awaits() && !c.awaited.peer.IsValid():
		c.startWatch(now, false)
	case c.watches() && !now.Before(c.nextWatch):
		c.startWatch(now, true)
	}
}

// fetchedBy is when a watch that does not wait must have told of what this host lacks.
func (c *Core) fetchedBy() time.Time {
	return c.watched.Add(c.conf.MaxWatchDelay + c.largeAnswer(c.awaited.revision-min(c.revision, c.awaited.revision)))
}

const (
	// perChange is how much longer an answer may take for each change in it: 50 bytes on a
	// sixteenth of a link of 20 Mbit/s.
	perChange = 300 * time.Microsecond
	// largestAnswer bounds that, as a share of the time in which changes must be known.
	largestAnswer = 0.25
)

// largeAnswer returns how much longer an answer may take that has so many changes.
func (c *Core) largeAnswer(changes uint64) time.Duration {
	most := c.share(largestAnswer)
	return time.Duration(min(changes, uint64(most/perChange))) * perChange
}

func (c *Core) endWatch() {
	c.stopping = true
	c.out.StopWatch = true
}

func (c *Core) startWatch(now time.Time, waits bool) {
	c.watch = &Watch{After: c.revision, LongPoll: waits}
	c.watched = now
	c.out.Watch = c.watch
}

// checkDue is when this host's knowledge becomes too old. The first host has to
// begin its watch again, and tries earlier.
func (c *Core) checkDue() time.Time {
	if c.looksOften() {
		return c.nextCall
	}
	return later(c.looksAt(), c.nextCall)
}

// fetches reports whether this host is about to get what the store was seen to
// have: by the watch in flight, or by one that does not wait.
func (c *Core) fetches() bool {
	return c.awaits() && !c.awaited.peer.IsValid() && c.away.IsZero()
}

// stepCheck asks the store when this host's knowledge has become too old.
func (c *Core) stepCheck(now time.Time) {
	if c.call != idle || c.fetches() || now.Before(c.checkDue()) {
		return
	}
	c.begin(now, checking)
}

// begin makes a call. While the store is away the cheapest one looks whether it is
// back.
func (c *Core) begin(now time.Time, kind call) {
	if !c.away.IsZero() {
		kind = looking
	}
	c.call, c.began = kind, now
	c.drawSample(now)
	switch kind {
	case reading:
		c.out.Read = true
	case checking:
		c.out.Check = true
	case looking:
		c.out.Ping = true
	}
}

// InitialReadDone takes in that a part of everything is in force. It returns how long to wait for peers
// to hand over the rest before it is read: where it takes many calls, a few hosts read it and
// the others ask them.
func (c *Core) InitialReadDone(now time.Time, long bool, within time.Duration) (time.Duration, Effects) {
	wait := time.Duration(c.conf.Jitter() * float64(within))
	switch {
	case !long:
		c.nextAsk = later(c.nextAsk, now.Add(within+askPause))
	case c.conf.Jitter() < readers:
		wait = 0
	default:
		c.nextAsk = now
		wait = min(longRest*within+wait, longestStart)
	}
	return wait, c.step(now)
}

const (
	// readers is the share of hosts that start together which read everything.
	readers = 1.0 / 32
	// longRest is how much longer the others wait for them than hosts wait that all read.
	longRest = 3
)

// CancelRead takes in that Effects.Read is not needed any more: a peer handed over the rest.
func (c *Core) CancelRead(now time.Time) Effects {
	c.call = idle
	return c.step(now)
}

// ReadDone gives the result of Effects.Read: the revision from which a watch
// misses nothing. What was read is in force already.
func (c *Core) ReadDone(now time.Time, revision uint64, err error) Effects {
	c.call = idle
	if err != nil {
		c.lost(now, c.began, err)
		return c.step(now)
	}
	c.regained(now)
	c.complete = true
	c.learn(revision)
	c.confirm(c.began)
	c.tellAll()
	return c.step(now)
}

// CheckDone gives the result of Effects.Check: the store's newest revision.
func (c *Core) CheckDone(now time.Time, revision uint64, err error) Effects {
	c.call = idle
	if err != nil {
		c.lost(now, c.began, err)
		return c.step(now)
	}
	c.regained(now)
	c.await(now, revision, c.began, netip.AddrPort{})
	c.tellAll()
	return c.step(now)
}

// PingDone gives the result of Effects.Ping.
func (c *Core) PingDone(now time.Time, err error) Effects {
	c.call = idle
	if err != nil {
		c.lost(now, c.began, err)
	} else {
		c.regained(now)
	}
	return c.step(now)
}

// WatchDone gives the result of Effects.Watch: where the next one goes on, and
// whether anything had changed. The changes are in force already. An error of a
// watch that was stopped says nothing of the store.
func (c *Core) WatchDone(now time.Time, revision uint64, changed bool, err error) Effects {
	waited, stopped := c.watch.LongPoll, c.stopping
	began := c.watched
	c.watch, c.stopping = nil, false
	switch {
	case errors.Is(err, ErrHistoryLost):
		c.missed(now)
		c.emit(event.StoreHistoryLost, event.Event{Value: int64(c.revision)})
	case stopped && !waited:
		// The store has reached a revision, and keeps a watch for it waiting.
		c.missed(now)
	case err != nil && stopped:
	case err != nil:
		c.lost(now, began, err)
	case changed:
		c.regained(now)
		c.learn(revision)
		c.confirm(began)
		c.nextWatch = now.Add(c.settleAfter(now.Sub(began)))
		c.tellAll()
	case !waited:
		// The store has reached a revision and does not tell of the changes.
		c.missed(now)
	default:
		c.regained(now)
	}
	return c.step(now)
}

// peersFirst is how long a host that missed changes asks its peers for them before it reads
// everything, as a share of the time in which changes must be known.
const peersFirst = 0.08

// missed takes in that changes after the known revision were missed.
func (c *Core) missed(now time.Time) {
	c.complete = false
	c.missedAt = now
	c.nextAsk = now
	if len(c.ranks.others) > 0 {
		c.startAt = later(c.startAt, now.Add(c.share(peersFirst)))
	}
}

// settleAfter returns the pause after changes that took a watch some time.
func (c *Core) settleAfter(took time.Duration) time.Duration {
	if took > c.conf.DebounceMax {
		c.settle = 0
	}
	c.settle = min(max(2*c.settle, c.conf.DebounceMin), c.settleMax())
	return c.settle
}

// settleMax is shorter while others wait for what this host learns.
func (c *Core) settleMax() time.Duration {
	if c.ranks.alone() {
		return c.conf.DebounceMax
	}
	return 2 * c.conf.DebounceMin
}

// lost takes in that a call failed. One that began before the store was answering
// others again says nothing new.
func (c *Core) lost(now, began time.Time, err error) {
	if began.Before(c.cleared) {
		return
	}
	c.failures++
	c.nextCall = c.nextLook(now, began)
	c.wentUnanswered(now, began)
	c.hearsay = false
	if c.away.IsZero() {
		c.away = now
		c.emit(event.StoreLost, event.Event{Detail: err.Error(), Value: int64(c.revision)})
	}
}

// regained takes in that the store answers this host.
func (c *Core) regained(now time.Time) {
	c.failures = 0
	c.outage.answered(c.began)
	if c.away.IsZero() {
		return
	}
	outage := now.Sub(c.unanswered())
	c.emit(event.StoreRegained, event.Event{Value: now.Sub(c.away).Milliseconds()})
	c.away, c.hearsay = time.Time{}, false
	c.nextCall = now
	if outage >= c.conf.MinOutage {
		c.hasReturned(now)
	}
}

// unanswered returns since when the store has answered no host, as far as this
// one can tell: since it was lost here, or since others who went on being answered
// should have told of it again.
func (c *Core) unanswered() time.Time {
	if !c.fresh.After(c.away) {
		return c.away
	}
	return c.fresh.Add(c.share(othersFrom))
}

// hasReturned takes in that an outage ended at t. News of the same outage from
// another host changes nothing.
func (c *Core) hasReturned(t time.Time) {
	if t.Sub(c.returned) < c.conf.RecoveryAnnouncePeriod {
		return
	}
	c.returned = t
	c.out.RecoveredAt = t
}

// looksOften reports whether this host looks for all whether the store is back: it is
// the first one, and too few others are known to have called in vain.
func (c *Core) looksOften() bool { return !c.away.IsZero() && c.ranks.first && !c.spared() }

// nextLook returns when to look again whether the store answers, after a call that
// began at a time and failed. The first host of the fleet looks often, and tells the
// others. They rely on that for no longer than they do for any other change, since it
// may be gone, or the one that the store turns away.
func (c *Core) nextLook(now, began time.Time) time.Time {
	next := now.Add(c.backoff())
	if c.ranks.first || !c.complete {
		return next
	}
	return later(next, began.Add(c.patience()))
}

// backoff spreads the hosts' calls over the pause.
func (c *Core) backoff() time.Duration {
	pause := c.conf.RetryMin
	for range c.failures - 1 {
		pause = min(2*pause, c.conf.RetryMax)
	}
	least := half * float64(pause)
	return time.Duration(least + least*c.conf.Jitter())
}

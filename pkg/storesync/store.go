package storesync

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// ErrHistoryLost is returned when the store no longer has all changes after a revision and
// everything must be read again.
var ErrHistoryLost = errors.New("the store no longer has the history")

// shouldWatch reports whether this host keeps a watch open at the store.
func (c *Core) shouldWatch() bool { return c.ranks.first && c.ranks.settled && c.lostAt.IsZero() }

// stepRead reads the full state from the store, after the peers have had time to provide it.
func (c *Core) stepRead(now time.Time) {
	if c.call != idle || now.Before(c.firstReadAt) || now.Before(c.nextCall) {
		return
	}
	c.startCall(now, reading)
}

// stepWatch keeps a watch open on the first host of the fleet, and restarts a watch that
// missed a change. Other hosts fetch missing changes with a watch that does not wait. A faulty
// store may keep such a watch open nevertheless; it is then stopped.
func (c *Core) stepWatch(now time.Time) {
	switch {
	case c.watch == nil:
		c.stepNewWatch(now)
	case c.watchStopping:
	case !c.watch.LongPoll && !now.Before(c.watchDeadline()):
		c.endWatch()
	case c.watch.LongPoll && c.behind() && !now.Before(c.pending.since.Add(c.conf.MaxWatchDelay)):
		c.endWatch()
		c.emit(event.StoreWatchBehind, event.Event{Value: int64(c.revision)})
	case c.watch.LongPoll && !c.shouldWatch():
		c.endWatch()
	}
}

func (c *Core) stepNewWatch(now time.Time) {
	switch {
	case !c.lostAt.IsZero():
	case c.behind() && !c.pending.peer.IsValid():
		c.startWatch(now, false)
	case c.shouldWatch() && !now.Before(c.nextWatch):
		c.startWatch(now, true)
	}
}

// watchDeadline returns when a watch that does not wait must have returned the changes that
// this host lacks.
func (c *Core) watchDeadline() time.Time {
	return c.watchStarted.Add(c.conf.MaxWatchDelay + c.extraTimeout(c.pending.revision-min(c.revision, c.pending.revision)))
}

const (
	// timeoutPerChange extends the timeout of a response for each change in it: 50 bytes on one
	// sixteenth of a 20 Mbit/s link.
	timeoutPerChange = 300 * time.Microsecond
	// maxExtraTimeout bounds the extension, as a fraction of MaxChangeDelay.
	maxExtraTimeout = 0.25
)

// extraTimeout returns the timeout extension for a response with a number of changes.
func (c *Core) extraTimeout(changes uint64) time.Duration {
	limit := c.share(maxExtraTimeout)
	return time.Duration(min(changes, uint64(limit/timeoutPerChange))) * timeoutPerChange
}

func (c *Core) endWatch() {
	c.watchStopping = true
	c.out.StopWatch = true
}

func (c *Core) startWatch(now time.Time, waits bool) {
	c.watch = &Watch{After: c.revision, LongPoll: waits}
	c.watchStarted = now
	c.out.Watch = c.watch
}

// checkDue returns when this host must check the store's revision because its knowledge
// becomes too old. The first host of the fleet checks earlier during an outage, since it has
// to restart its watch.
func (c *Core) checkDue() time.Time {
	if c.pingsOften() {
		return c.nextCall
	}
	return later(c.staleAt(), c.nextCall)
}

// readsFromWatch reports whether the changes that this host lacks are being read from the
// store, by the pending watch or by one that does not wait.
func (c *Core) readsFromWatch() bool {
	return c.behind() && !c.pending.peer.IsValid() && c.lostAt.IsZero()
}

// stepCheck checks the store's revision if this host's knowledge has become too old.
func (c *Core) stepCheck(now time.Time) {
	if c.call != idle || c.readsFromWatch() || now.Before(c.checkDue()) {
		return
	}
	c.startCall(now, checking)
}

// startCall starts a call to the store. During an outage it is replaced by a ping, the cheapest
// call that shows whether the store answers again.
func (c *Core) startCall(now time.Time, kind storeCall) {
	if !c.lostAt.IsZero() {
		kind = pinging
	}
	c.call, c.callStarted = kind, now
	c.scheduleSample(now)
	switch kind {
	case reading:
		c.out.Read = true
	case checking:
		c.out.Check = true
	case pinging:
		c.out.Ping = true
	}
}

// InitialReadDone reports that the initial part of the state has been applied. It returns how
// long to wait for peers to provide the rest before reading it from the store. Where a full
// read takes many calls (long), a few hosts read it and the others fetch it from them.
func (c *Core) InitialReadDone(now time.Time, long bool, within time.Duration) (time.Duration, Effects) {
	wait := time.Duration(c.conf.Jitter() * float64(within))
	switch {
	case !long:
		c.nextFetch = later(c.nextFetch, now.Add(within+fetchRetryDelay))
	case c.conf.Jitter() < fullReaderShare:
		wait = 0
	default:
		c.nextFetch = now
		wait = min(largeReadWait*within+wait, maxStartWait)
	}
	return wait, c.step(now)
}

const (
	// fullReaderShare is the fraction of the hosts starting together that read the full state.
	fullReaderShare = 1.0 / 32
	// largeReadWait is the minimum wait of the others for those reads, as a multiple of the time
	// over which reads are spread where all hosts read.
	largeReadWait = 3
)

// CancelRead reports that Effects.Read is no longer needed because a peer provided the state.
func (c *Core) CancelRead(now time.Time) Effects {
	c.call = idle
	return c.step(now)
}

// ReadDone reports the result of Effects.Read: the revision from which a watch misses nothing.
// The state has been applied already.
func (c *Core) ReadDone(now time.Time, revision uint64, err error) Effects {
	c.call = idle
	if err != nil {
		c.callFailed(now, c.callStarted, err)
		return c.step(now)
	}
	c.callAnswered(now)
	c.complete = true
	c.learn(revision)
	c.confirm(c.callStarted)
	c.broadcast()
	return c.step(now)
}

// CheckDone reports the result of Effects.Check: the store's newest revision.
func (c *Core) CheckDone(now time.Time, revision uint64, err error) Effects {
	c.call = idle
	if err != nil {
		c.callFailed(now, c.callStarted, err)
		return c.step(now)
	}
	c.callAnswered(now)
	c.observeRevision(now, revision, c.callStarted, netip.AddrPort{})
	c.broadcast()
	return c.step(now)
}

// PingDone reports the result of Effects.Ping.
func (c *Core) PingDone(now time.Time, err error) Effects {
	c.call = idle
	if err != nil {
		c.callFailed(now, c.callStarted, err)
	} else {
		c.callAnswered(now)
	}
	return c.step(now)
}

// WatchDone reports the result of Effects.Watch: the revision from which the next watch
// continues, and whether there were changes. They have been applied already. An error of a
// watch that was stopped says nothing about the store.
func (c *Core) WatchDone(now time.Time, revision uint64, changed bool, err error) Effects {
	waited, stopped := c.watch.LongPoll, c.watchStopping
	began := c.watchStarted
	c.watch, c.watchStopping = nil, false
	switch {
	case errors.Is(err, ErrHistoryLost):
		c.missedChanges(now)
		c.emit(event.StoreHistoryLost, event.Event{Value: int64(c.revision)})
	case stopped && !waited:
		// The store is known to have a newer revision but did not return the changes in time.
		c.missedChanges(now)
	case err != nil && stopped:
	case err != nil:
		c.callFailed(now, began, err)
	case changed:
		c.callAnswered(now)
		c.learn(revision)
		c.confirm(began)
		c.nextWatch = now.Add(c.debounceAfter(now.Sub(began)))
		c.broadcast()
	case !waited:
		// The store is known to have a newer revision but returned no changes.
		c.missedChanges(now)
	default:
		c.callAnswered(now)
	}
	return c.step(now)
}

// peerFetchPeriod is how long a host that missed changes tries to fetch them from its peers
// before it reads the full state from the store, as a fraction of MaxChangeDelay.
const peerFetchPeriod = 0.08

// missedChanges records that changes after the known revision were missed.
func (c *Core) missedChanges(now time.Time) {
	c.complete = false
	c.missedAt = now
	c.nextFetch = now
	if len(c.ranks.others) > 0 {
		c.firstReadAt = later(c.firstReadAt, now.Add(c.share(peerFetchPeriod)))
	}
}

// debounceAfter returns the pause before the next watch, given how long the last one took to
// return changes.
func (c *Core) debounceAfter(took time.Duration) time.Duration {
	if took > c.conf.DebounceMax {
		c.debounce = 0
	}
	c.debounce = min(max(2*c.debounce, c.conf.DebounceMin), c.debounceMax())
	return c.debounce
}

// debounceMax is the longest pause between watches. It is shorter while other hosts depend on
// this host's watch.
func (c *Core) debounceMax() time.Duration {
	if c.ranks.alone() {
		return c.conf.DebounceMax
	}
	return 2 * c.conf.DebounceMin
}

// callFailed handles a failed call. A call that began before the store was known to answer
// peers again is ignored.
func (c *Core) callFailed(now, began time.Time, err error) {
	if began.Before(c.clearedAt) {
		return
	}
	c.failures++
	c.nextCall = c.nextRetry(now, began)
	c.reportFailure(now, began)
	c.lostByReport = false
	if c.lostAt.IsZero() {
		c.lostAt = now
		c.emit(event.StoreLost, event.Event{Detail: err.Error(), Value: int64(c.revision)})
	}
}

// callAnswered records that the store answers this host.
func (c *Core) callAnswered(now time.Time) {
	c.failures = 0
	c.outage.recordAnswer(c.callStarted)
	if c.lostAt.IsZero() {
		return
	}
	outage := now.Sub(c.outageStart())
	c.emit(event.StoreRegained, event.Event{Value: now.Sub(c.lostAt).Milliseconds()})
	c.lostAt, c.lostByReport = time.Time{}, false
	c.nextCall = now
	if outage >= c.conf.MinOutage {
		c.announceRecovery(now)
	}
}

// outageStart returns since when the store has answered no host, as far as this host can
// tell: since this host lost it, or since other hosts that still reached it should have sent
// the next update.
func (c *Core) outageStart() time.Time {
	if !c.asOf.After(c.lostAt) {
		return c.lostAt
	}
	return c.asOf.Add(c.share(othersBase))
}

// announceRecovery records that an outage ended at t. Reports of the same outage from other
// hosts have no effect.
func (c *Core) announceRecovery(t time.Time) {
	if t.Sub(c.recoveredAt) < c.conf.RecoveryAnnouncePeriod {
		return
	}
	c.recoveredAt = t
	c.out.RecoveredAt = t
}

// pingsOften reports whether this host pings the store at short intervals on behalf of the
// fleet: it is the first host, and no quorum of hosts is known to have failed to reach the
// store.
func (c *Core) pingsOften() bool { return !c.lostAt.IsZero() && c.ranks.first && !c.suppressed() }

// nextRetry returns when to call the store again after a call that began at the given time
// and failed. The first host of the fleet retries often and tells the others. They rely on
// that no longer than for any other change, because the first host may be gone, or may be the
// only one that the store refuses.
func (c *Core) nextRetry(now, began time.Time) time.Time {
	next := now.Add(c.backoff())
	if c.ranks.first || !c.complete {
		return next
	}
	return later(next, began.Add(c.stalenessLimit()))
}

// backoff returns a randomized retry delay, so that the hosts do not call at the same time.
func (c *Core) backoff() time.Duration {
	pause := c.conf.RetryMin
	for range c.failures - 1 {
		pause = min(2*pause, c.conf.RetryMax)
	}
	least := half * float64(pause)
	return time.Duration(least + least*c.conf.Jitter())
}

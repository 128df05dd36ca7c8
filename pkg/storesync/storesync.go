// Package storesync keeps the hosts of a fleet in sync with a central store while only a few
// of them read it.
//
// All hosts run the same code and none has a fixed role. Each host tracks how recent its
// knowledge is: the latest time for which it is certain to know every change of the store. A
// host whose knowledge is older than its staleness limit asks the store and sends the result to
// the others, which makes their knowledge as recent as its own. The staleness limit of a host
// depends on its rank among the hosts that it believes to be alive, so that normally one host
// of the fleet asks, and the others receive its update before they would ask themselves. The
// same host also keeps a watch open at the store, so that changes are known at once.
//
// Correctness does not depend on the ranks. If two hosts both believe that they are the first,
// the store is asked twice as often as needed; if the first host is gone, cut off, paused or
// refused by the store, the host with the next staleness limit asks. The largest staleness
// limit is well within the time in which changes must be known.
//
// The package does no I/O and reads no clock: each method takes the time and an input, and
// returns what to do. A Core is not safe for concurrent use.
package storesync

import (
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Config configures a Core.
type Config struct {
	// MaxChangeDelay is the time within which a change of the store must be known to every host.
	MaxChangeDelay time.Duration
	// SoloCheckInterval is the staleness limit of a host that knows of no other host: its watch
	// returns changes, and it asks only to find out whether the watch missed one.
	SoloCheckInterval time.Duration
	// MaxWatchDelay is how long a watch may take to return a change that the store is known to
	// have.
	MaxWatchDelay time.Duration
	// DebounceMin and DebounceMax bound the pause before the next watch, which doubles while
	// changes keep coming, so that a burst of changes causes few calls.
	DebounceMin, DebounceMax time.Duration
	// MinOutage is the shortest period without answers that counts as an outage.
	MinOutage time.Duration
	// RecoveryAnnouncePeriod is how long the other hosts are told that an outage has ended.
	RecoveryAnnouncePeriod time.Duration
	// RetryMin and RetryMax bound the delay before a failed call is retried; the delay
	// doubles from one to the other.
	RetryMin, RetryMax time.Duration
	// StartReadDelay is how long a starting host waits before it reads the store, and
	// StartFetchDelay how long it waits before it asks its peers.
	StartReadDelay, StartFetchDelay time.Duration
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
}

// Host is one host of the fleet.
type Host struct {
	// Address is the address at which peers reach the host.
	Address netip.AddrPort
	// FailureDomain is the host's failure domain; empty if it is not known yet.
	FailureDomain string
	// Leaving is true when the host is about to stop. It still receives updates.
	Leaving bool
}

// Watch is a call that returns the changes after a revision.
type Watch struct {
	// After is the revision that is known.
	After uint64
	// LongPoll is false for a call that returns at once.
	LongPoll bool
}

// PeerFetch is a request to a peer for everything after a revision; revision 0 requests the
// full state.
type PeerFetch struct {
	Peer netip.AddrPort
	// After is the revision that is known.
	After uint64
	// ExtraTimeout extends the usual timeout for a large response.
	ExtraTimeout time.Duration
}

// Update is what one host sends to another about its knowledge.
type Update struct {
	// Revision is the newest revision that the sender knows.
	Revision uint64
	// AsOf is the latest time for which the sender knows every change, by the clock of the
	// host that holds this value.
	AsOf time.Time
	// RecoveredAt is when the store recovered from its last outage; zero if that is
	// long ago.
	RecoveredAt time.Time
	// Tree is the distribution tree along which the update came. Core.Update does not set it.
	Tree Tree
	// FailedCalls are the newest calls of different hosts that the store did not answer. They
	// may or may not include a call of the sender. Only an outage update has them.
	FailedCalls []FailedCall
}

// Effects is what the caller has to do after an input.
type Effects struct {
	// Read requests a read of the full state.
	Read bool
	// Check requests the store's newest revision.
	Check bool
	// Ping requests the cheapest call that shows whether the store answers.
	Ping bool
	// Watch starts a watch; nil for none.
	Watch *Watch
	// StopWatch stops the pending watch; its result must still be reported.
	StopWatch bool
	// Fetch asks a peer; nil for none.
	Fetch *PeerFetch
	// SendUpdate lists the routes of Core.Update, and SendOutageUpdate those of
	// Core.OutageUpdate.
	SendUpdate, SendOutageUpdate []Route
	// RecoveredAt is set when the store answers again after an outage, to the time of
	// recovery; zero otherwise.
	RecoveredAt time.Time
	// Events are the decisions to report.
	Events []event.Event
}

// storeCall is the kind of the pending call to the store, not counting the watch.
type storeCall int

const (
	idle storeCall = iota
	reading
	checking
	pinging
)

// Core is the state machine of one host.
type Core struct {
	conf  Config
	ranks ranks

	revision    uint64
	complete    bool      // the full state was learned, and no change was missed since
	asOf        time.Time // the latest time for which every change is known
	recoveredAt time.Time // when the store recovered from its last outage
	pending     pendingRevision

	call             storeCall
	callStarted      time.Time // start of call
	nextCall         time.Time // no call before
	startedAt        time.Time // when this host started
	firstReadAt      time.Time // no full read before
	missedAt         time.Time // when this host found that it had missed changes; zero at the start
	watch            *Watch    // pending watch
	watchStarted     time.Time // start of watch
	watchStopping    bool      // watch was told to stop
	nextWatch        time.Time
	debounce         time.Duration
	lostAt           time.Time // when the first of a series of failed calls failed; zero while the store answers
	lostByReport     bool      // lostAt is based on reports of peers: no call of this host failed
	failures         int
	clearedAt        time.Time // when a peer last showed that the store answers again
	outage           outage
	reportedCall     time.Time // start of the last call that was reported as failed
	outageUpdateSent time.Time // when the last outage update of this host was sent
	nextSample       time.Time // next call of this host while its calls are suppressed

	forwards [treesPerRoot]forward

	fetching  bool
	nextFetch time.Time
	// verifiedAsOf is the value of asOf at which a peer was last asked for confirmation, and
	// verifiedAt the time of that request. ancestorsAsked counts the requests for that value.
	verifiedAsOf, verifiedAt time.Time
	ancestorsAsked           int

	out Effects
}

// pendingRevision is a revision that this host is known to lack.
type pendingRevision struct {
	revision uint64
	asOf     time.Time // becomes Core.asOf once the revision is known
	since    time.Time
	peer     netip.AddrPort // a peer that has it; invalid if it was seen in the store
	backup   netip.AddrPort // another peer that has it; invalid if there is none
}

// New returns the Core of a host without any state.
func New(now time.Time, conf Config) *Core {
	return &Core{
		conf:        conf,
		startedAt:   now,
		firstReadAt: now.Add(conf.StartReadDelay),
		nextFetch:   now.Add(conf.StartFetchDelay),
		outage:      outage{partialHold: partialOutageHold * conf.MaxChangeDelay},
	}
}

// SetHosts sets the hosts that are believed to be alive, which may include self, and the
// addresses at which hosts may be found. Until settled is true, this host neither watches the
// store nor considers itself alone.
func (c *Core) SetHosts(now time.Time, self Host, hosts []Host, settled bool) Effects {
	c.ranks = newRanks(self, hosts, settled)
	return c.step(now)
}

// Tick performs the actions that are due.
func (c *Core) Tick(now time.Time) Effects { return c.step(now) }

// Update returns what this host sends to others, and false while its state is incomplete.
func (c *Core) Update(now time.Time) (Update, bool) {
	n := Update{Revision: c.revision, AsOf: c.asOf}
	if now.Sub(c.recoveredAt) < c.conf.RecoveryAnnouncePeriod {
		n.RecoveredAt = c.recoveredAt
	}
	return n, c.complete
}

// OutageUpdate returns what this host sends to others while the store does not answer, and
// false while its state is incomplete. It states the knowledge as older than it is: transit
// makes knowledge look more recent, and hosts that repeatedly send each other such messages
// would mistake that for answers of the store.
func (c *Core) OutageUpdate(now time.Time) (Update, bool) {
	return Update{
		Revision:    c.revision,
		AsOf:        c.asOf.Add(-c.conf.MaxChangeDelay),
		FailedCalls: c.outage.since(now.Add(-c.conf.MaxChangeDelay)),
	}, c.complete
}

// AsOf returns the latest time for which every change is known.
func (c *Core) AsOf() time.Time { return c.asOf }

// Revision returns the newest known revision.
func (c *Core) Revision() uint64 { return c.revision }

// step starts the actions that are due.
func (c *Core) step(now time.Time) Effects {
	c.stepFetch(now)
	if c.complete {
		c.stepWatch(now)
		c.stepCheck(now)
		c.stepFailureReport(now)
	} else {
		c.stepRead(now)
	}
	out := c.out
	c.out = Effects{}
	return out
}

// NextTick returns when Tick is to be called, and false if this host has nothing to do until
// a call returns or an update arrives.
func (c *Core) NextTick() (time.Time, bool) {
	var due earliest
	if t, wanted := c.fetchDue(); wanted {
		due.add(t)
	}
	switch {
	case c.call != idle:
		if t, wanted := c.failureReportDue(); wanted {
			due.add(t)
		}
	case !c.complete:
		due.add(later(c.firstReadAt, c.nextCall))
	case !c.readsFromWatch():
		due.add(c.checkDue())
	}
	if t, wanted := c.watchDue(); wanted && c.complete {
		due.add(t)
	}
	return due.at, due.found
}

// watchDue returns when a watch is to be started or stopped, and false if that does not depend
// on time.
func (c *Core) watchDue() (time.Time, bool) {
	switch {
	case c.watch == nil:
		return c.nextWatch, c.shouldWatch()
	case c.watchStopping:
		return time.Time{}, false
	case !c.watch.LongPoll:
		return c.watchDeadline(), true
	}
	return c.pending.since.Add(c.conf.MaxWatchDelay), c.behind()
}

// earliest holds the earliest of the times added.
type earliest struct {
	at    time.Time
	found bool
}

func (e *earliest) add(t time.Time) {
	if !e.found || t.Before(e.at) {
		e.at, e.found = t, true
	}
}

// stalenessLimit is the age of its knowledge at which this host asks the store.
func (c *Core) stalenessLimit() time.Duration {
	if c.ranks.alone() {
		return c.conf.SoloCheckInterval
	}
	return c.share(c.ranks.stalenessShare())
}

// share returns a fraction of MaxChangeDelay.
func (c *Core) share(part float64) time.Duration {
	return time.Duration(part * float64(c.conf.MaxChangeDelay))
}

// learn records that all changes up to a revision are known.
func (c *Core) learn(revision uint64) {
	c.revision = max(c.revision, revision)
	if c.pending.revision > 0 && c.revision >= c.pending.revision {
		c.confirm(c.pending.asOf)
		c.pending = pendingRevision{}
	}
}

// confirm records that every change before t is known.
func (c *Core) confirm(t time.Time) {
	if t.After(c.asOf) {
		c.asOf = t
		c.outage.recordAnswer(t)
	}
}

// behind reports whether this host is known to lack a change.
func (c *Core) behind() bool { return c.pending.revision > c.revision }

// observeRevision records that the store has reached a revision.
func (c *Core) observeRevision(now time.Time, revision uint64, asOf time.Time, peer netip.AddrPort) {
	switch {
	case revision <= c.revision:
		c.confirm(asOf)
	case revision >= c.pending.revision:
		next := pendingRevision{revision: revision, asOf: asOf, since: now, peer: peer}
		if c.behind() {
			next.since = c.pending.since
		}
		if c.pending.revision == revision && c.pending.peer.IsValid() && peer.IsValid() {
			next.peer, next.backup = c.pending.peer, peer
		}
		c.pending = next
	}
}

func (c *Core) emit(code event.Code, e event.Event) {
	e.Code = code
	c.out.Events = append(c.out.Events, e)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

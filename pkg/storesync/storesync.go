// Package storesync decides how the hosts of a fleet keep in step with one store
// while few of them read it.
//
// The hosts are equal. What counts is how fresh a host's knowledge is: the
// newest moment of which it is certain to know every change of the store. A host
// whose knowledge is older than its patience asks the store, and tells the
// others what it learned, which makes their knowledge as fresh as its own. Each
// host's patience depends on its rank among the hosts that it believes alive, so
// that normally one host of the fleet asks and the others are told before they
// would. That host also keeps a watch at the store, so that changes are known at
// once.
//
// Nothing rests on the ranks being right. Two hosts that both believe to be the
// first ask twice as often as needed; when the first one is gone, cut off, paused
// or turned away by the store, the next patience runs out. The longest patience
// is well within the time in which changes must be known.
//
// The package does no I/O and reads no clock: each method takes the time and an
// input, and returns what to do. A Core belongs to one goroutine.
package storesync

import (
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Config bounds a Core.
type Config struct {
	// MaxChangeDelay is the time in which a change of the store must be known.
	MaxChangeDelay time.Duration
	// SoloCheckInterval is the patience of a host that knows of no other: its watch
	// tells it of changes, and it asks only whether the watch missed one.
	SoloCheckInterval time.Duration
	// MaxWatchDelay is how long a watch may take to tell of a change that the store
	// was seen to have.
	MaxWatchDelay time.Duration
	// DebounceMin and DebounceMax bound the pause before the next watch, so that a
	// burst of changes costs few calls: it doubles while changes keep coming.
	DebounceMin, DebounceMax time.Duration
	// MinOutage is the shortest time without answers that counts as an outage.
	MinOutage time.Duration
	// RecoveryAnnouncePeriod is how long the others are told that an outage has ended.
	RecoveryAnnouncePeriod time.Duration
	// RetryMin and RetryMax bound the pause before a failed call is made again;
	// it doubles from one to the other.
	RetryMin, RetryMax time.Duration
	// StartReadDelay is how long a host that starts leaves the store alone, and AskAfter
	// how long it leaves its peers alone.
	StartReadDelay, StartFetchDelay time.Duration
	// Jitter returns a random number from 0 up to 1. It spreads retries.
	Jitter func() float64
}

// Host is one host of the fleet.
type Host struct {
	// Address is where it is told and asked of news.
	Address netip.AddrPort
	// FailureDomain is where it runs; empty if that is not known yet.
	FailureDomain string
	// Leaving is true when it is about to stop. It is still told of news.
	Leaving bool
}

// Watch is a call that waits at the store for changes.
type Watch struct {
	// After is the revision that is known.
	After uint64
	// LongPoll is false for a call that returns at once.
	LongPoll bool
}

// PeerFetch is a question to a peer for all that came after a revision; 0 asks for
// everything.
type PeerFetch struct {
	// Peer is whom to ask.
	Peer netip.AddrPort
	// After is the revision that is known.
	After uint64
	// ExtraTimeout is how much longer than usual the answer may take, for all that it holds.
	ExtraTimeout time.Duration
}

// Update is what one host tells another of its knowledge.
type Update struct {
	// Revision is the newest revision that it knows.
	Revision uint64
	// AsOf is the newest moment of which it knows every change, by the clock of
	// the host that holds this value.
	AsOf time.Time
	// RecoveredAt is when the store came back from its last outage; zero if that is
	// long ago.
	RecoveredAt time.Time
	// Tree is the way on which it came. Core.Update does not set it.
	Tree Tree
	// FailedCalls are the newest calls of different hosts, this one among them or
	// not, that the store did not answer. Only a warning has them.
	FailedCalls []FailedCall
}

// Effects is what the caller has to do after an input.
type Effects struct {
	// Read asks for everything in the store.
	Read bool
	// Check asks for the store's newest revision.
	Check bool
	// Ping makes the cheapest call that shows whether the store answers.
	Ping bool
	// Watch begins a watch; nil for none.
	Watch *Watch
	// StopWatch ends the watch in flight; its result still has to be given.
	StopWatch bool
	// Fetch asks a peer; nil for none.
	Fetch *PeerFetch
	// SendUpdate lists the ways of News, and Warn those of Warning.
	SendUpdate, SendOutageUpdate []Route
	// RecoveredAt says that the store answers again after an outage, and since when;
	// zero if it does not say so.
	RecoveredAt time.Time
	// Events are decisions to report.
	Events []event.Event
}

// call is the store call in flight, the watch aside.
type call int

const (
	idle call = iota
	reading
	checking
	looking
)

// Core is the state of one host.
type Core struct {
	conf  Config
	ranks ranks

	revision uint64
	complete bool      // everything was learned once, and nothing was missed since
	fresh    time.Time // the newest moment of which every change is known
	returned time.Time // when the store came back from its last outage
	awaited  awaited

	call      call
	began     time.Time // of call
	nextCall  time.Time // no call before
	begunAt   time.Time // when this host started
	startAt   time.Time // no first read before
	missedAt  time.Time // when this host found that it had missed changes; zero at the start
	watch     *Watch    // in flight
	watched   time.Time // when watch began
	stopping  bool      // watch was told to end
	nextWatch time.Time
	settle    time.Duration
	away      time.Time // when the first of the calls that failed in a row did
	hearsay   bool      // away is what others told: no call of this host failed
	failures  int
	cleared   time.Time // when a peer last showed that the store answers again
	outage    outage
	reported  time.Time // beginning of the last call that was found to go unanswered
	toldOf    time.Time // when the peers were last told of such a call
	sample    time.Time // when this host calls though others called in vain

	passing [trees]passing

	asking  bool
	nextAsk time.Time
	// doubted is the value of fresh at which a peer was asked whether all is told, and
	// doubtedAt when. Climbed counts those asked for the same value.
	doubted, doubtedAt time.Time
	climbed            int

	out Effects
}

// awaited is a revision that this host is known to lack.
type awaited struct {
	revision uint64
	fresh    time.Time // what knowing it makes certain
	since    time.Time
	peer     netip.AddrPort // who has it; invalid if it was seen in the store
	spare    netip.AddrPort // another one who has it; invalid if none told
}

// New returns the core of a host that knows nothing.
func New(now time.Time, conf Config) *Core {
	return &Core{
		conf:    conf,
		begunAt: now,
		startAt: now.Add(conf.StartReadDelay),
		nextAsk: now.Add(conf.StartFetchDelay),
		outage:  outage{mixFor: mixedFor * conf.MaxChangeDelay},
	}
}

// SetHosts takes in which hosts are believed alive, self among them or not, and the
// addresses at which some host may be found. Until most of them are known, this
// host neither watches nor takes itself for alone.
func (c *Core) SetHosts(now time.Time, self Host, hosts []Host, settled bool) Effects {
	c.ranks = rank(self, hosts, settled)
	return c.step(now)
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) Effects { return c.step(now) }

// Update returns what this host tells others, and false while it knows nothing.
func (c *Core) Update(now time.Time) (Update, bool) {
	n := Update{Revision: c.revision, AsOf: c.fresh}
	if now.Sub(c.returned) < c.conf.RecoveryAnnouncePeriod {
		n.RecoveredAt = c.returned
	}
	return n, c.complete
}

// OutageUpdate returns what this host tells others while the store does not answer, and
// false while it knows nothing. It states its knowledge as older than it is: the way
// of a message makes knowledge look younger, and hosts that tell one another again
// and again would take that for answers of the store.
func (c *Core) OutageUpdate(now time.Time) (Update, bool) {
	return Update{
		Revision:    c.revision,
		AsOf:        c.fresh.Add(-c.conf.MaxChangeDelay),
		FailedCalls: c.outage.since(now.Add(-c.conf.MaxChangeDelay)),
	}, c.complete
}

// AsOf returns the newest moment of which every change is known.
func (c *Core) AsOf() time.Time { return c.fresh }

// Revision returns the newest revision known.
func (c *Core) Revision() uint64 { return c.revision }

// step starts whatever is due.
func (c *Core) step(now time.Time) Effects {
	c.stepAsk(now)
	if c.complete {
		c.stepWatch(now)
		c.stepCheck(now)
		c.stepUnanswered(now)
	} else {
		c.stepRead(now)
	}
	out := c.out
	c.out = Effects{}
	return out
}

// NextTick returns when Tick is to be called, and false if only the result of a call
// or news can give this host something to do.
func (c *Core) NextTick() (time.Time, bool) {
	var due earliest
	if t, wanted := c.askDue(); wanted {
		due.add(t)
	}
	switch {
	case c.call != idle:
		if t, wanted := c.unansweredDue(); wanted {
			due.add(t)
		}
	case !c.complete:
		due.add(later(c.startAt, c.nextCall))
	case !c.fetches():
		due.add(c.checkDue())
	}
	if t, wanted := c.watchDue(); wanted && c.complete {
		due.add(t)
	}
	return due.at, due.found
}

// watchDue returns when a watch is to be begun or ended, and false if that does not
// depend on time.
func (c *Core) watchDue() (time.Time, bool) {
	switch {
	case c.watch == nil:
		return c.nextWatch, c.watches()
	case c.stopping:
		return time.Time{}, false
	case !c.watch.LongPoll:
		return c.fetchedBy(), true
	}
	return c.awaited.since.Add(c.conf.MaxWatchDelay), c.awaits()
}

// earliest is the first of the times added.
type earliest struct {
	at    time.Time
	found bool
}

func (e *earliest) add(t time.Time) {
	if !e.found || t.Before(e.at) {
		e.at, e.found = t, true
	}
}

// patience is how old this host's knowledge may get before it asks the store.
func (c *Core) patience() time.Duration {
	if c.ranks.alone() {
		return c.conf.SoloCheckInterval
	}
	return c.share(c.ranks.share())
}

// share returns a share of the time in which changes must be known.
func (c *Core) share(part float64) time.Duration {
	return time.Duration(part * float64(c.conf.MaxChangeDelay))
}

// learn takes in that all changes up to a revision are known.
func (c *Core) learn(revision uint64) {
	c.revision = max(c.revision, revision)
	if c.awaited.revision > 0 && c.revision >= c.awaited.revision {
		c.confirm(c.awaited.fresh)
		c.awaited = awaited{}
	}
}

// confirm takes in that every change before t is known.
func (c *Core) confirm(t time.Time) {
	if t.After(c.fresh) {
		c.fresh = t
		c.outage.answered(t)
	}
}

// awaits reports whether this host is known to lack a change.
func (c *Core) awaits() bool { return c.awaited.revision > c.revision }

// await takes in that the store has reached a revision.
func (c *Core) await(now time.Time, revision uint64, fresh time.Time, peer netip.AddrPort) {
	switch {
	case revision <= c.revision:
		c.confirm(fresh)
	case revision >= c.awaited.revision:
		next := awaited{revision: revision, fresh: fresh, since: now, peer: peer}
		if c.awaits() {
			next.since = c.awaited.since
		}
		if c.awaited.revision == revision && c.awaited.peer.IsValid() && peer.IsValid() {
			next.peer, next.spare = c.awaited.peer, peer
		}
		c.awaited = next
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

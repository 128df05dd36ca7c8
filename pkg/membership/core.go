// Package membership decides which entry hosts exist and which of them answer.
//
// It is a state machine without I/O: each method takes the time and an input,
// and returns the messages to send and the events to report. It reads no
// clock, opens no socket and draws randomness from the source handed in. A
// Core belongs to one goroutine; a Snapshot is immutable and may be shared.
//
// The protocol is a randomised failure detector with gossip: each host probes
// one member per period, directly and then through others; news spread on the
// probes; a suspect may refute; one peer at a time is compared in full. What
// it yields is a guess that lags. Nothing that must hold may rest on it.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Config holds what a Core needs to start. Zero durations and counts take
// their defaults.
type Config struct {
	// Address is where peers reach this host.
	Address netip.AddrPort
	// FailureDomain is where this host runs; at most MaxFailureDomainBytes.
	FailureDomain string
	// Process identifies this process; draw it at random at each start.
	Process uint64
	// Incarnation is where the order of news about this host starts. The start
	// time in milliseconds serves well; a clock that went back is made good by
	// the first peer that remembers.
	Incarnation uint64
	// Period is the time between two probes. Default: DefaultPeriod.
	Period time.Duration
	// PauseThreshold is the gap between two inputs that counts as a pause.
	// Default: two periods.
	PauseThreshold time.Duration
	// DeadRetention is how long a dead member is kept. Default: 600 periods.
	DeadRetention time.Duration
	// MaxMembers bounds memory. Default: DefaultMaxMembers.
	MaxMembers int
	// Rand is the only source of randomness.
	Rand *rand.Rand
}

// Defaults and fixed parameters of the protocol.
const (
	// DefaultPeriod is the default of Config.Period.
	DefaultPeriod = time.Second
	// DefaultMaxMembers is the default of Config.MaxMembers.
	DefaultMaxMembers = 16384
	// TicksPerPeriod is how often Tick is to be called in one period.
	TicksPerPeriod = 8

	defaultPausePeriods  = 2
	defaultForgetPeriods = 600
	maxHealth            = 4   // highest count of signs that this host is slow
	answersPerPeriod     = 512 // answers of any kind sent in one period
	syncRepliesPerPeriod = 6
)

// Effects is what the caller is to do after an input. The slices belong to
// the caller.
type Effects struct {
	// Send are messages to put on the wire.
	Send []Envelope
	// Events are decisions to report; At and EntryHost are left to the caller.
	Events []event.Event
}

// record is one known member other than this host.
type record struct {
	entry       Entry
	hash        uint64
	deadline    time.Duration // on Core.clock: suspect to dead, dead to forgotten
	listLeaving bool          // the platform's list says that it is leaving
	behind      bool          // its last message was older than entry
	token       uint32        // names the newest broadcast of this record
}

// Core is the state of membership on one host.
type Core struct {
	conf    Config
	self    Entry
	selfSum uint64 // address hash of self
	stopped bool
	noted   map[event.Code]uint64 // period of the last event that emitOnce let pass

	// clock counts observed time: it stands still over a pause, so that no
	// timer runs out because this process did not run.
	clock      time.Duration
	last       time.Time
	nextPeriod time.Duration
	periods    uint64
	health     int // signs that this host itself is slow; 0 is healthy

	records map[netip.AddrPort]*record
	order   []*record // by hash
	timed   []*record // suspect or dead
	queue   broadcasts
	probe   probe
	relays  []relay
	turn    []*record // rest of this round of probes
	urgent  []*record // to be probed before the round goes on

	sync  syncState
	hosts hostState
	awake wakeState

	metadata metadataState

	answers     int
	syncReplies int

	changes           uint64 // changes of members, metadata aside
	dirty, minorDirty bool
	snapshot          *Snapshot
	out               Effects
}

// New returns a core that knows only itself.
func New(now time.Time, conf Config) *Core {
	if conf.Period <= 0 {
		conf.Period = DefaultPeriod
	}
	if conf.PauseThreshold <= 0 {
		conf.PauseThreshold = defaultPausePeriods * conf.Period
	}
	if conf.DeadRetention <= 0 {
		conf.DeadRetention = defaultForgetPeriods * conf.Period
	}
	if conf.MaxMembers <= 0 {
		conf.MaxMembers = DefaultMaxMembers
	}
	return &Core{
		conf: conf,
		self: Entry{
			Address:       conf.Address,
			Process:       conf.Process,
			Incarnation:   conf.Incarnation,
			State:         Alive,
			FailureDomain: conf.FailureDomain,
		},
		selfSum: addressHash(conf.Address),
		last:    now,
		noted:   make(map[event.Code]uint64),
		records: make(map[netip.AddrPort]*record),
		dirty:   true,
	}
}

// Tick does what is due. Call it TicksPerPeriod times a period.
func (c *Core) Tick(now time.Time) Effects {
	c.advance(now)
	if c.stopped {
		return c.effects()
	}
	c.expire()
	if c.clock >= c.nextPeriod {
		c.nextPeriod = c.clock + c.conf.Period
		c.startPeriod()
	}
	c.stepJoin()
	c.stepProbe()
	return c.effects()
}

// startPeriod does the work of once a period.
func (c *Core) startPeriod() {
	c.periods++
	c.answers = 0
	c.syncReplies = 0
	if c.minorDirty {
		c.dirty = true
		c.minorDirty = false
	}
	c.publishMetadata()
	c.stepWake()
	c.stepSync()
	c.stepReconnect()
}

// advance moves the clock by the time observed since the last input. A gap
// beyond the bound is a pause.
func (c *Core) advance(now time.Time) {
	gap := now.Sub(c.last)
	c.last = now
	if gap <= 0 {
		return
	}
	if gap > c.conf.PauseThreshold && !c.stopped {
		c.startWaking(gap)
	}
	if gap > c.conf.Period/2 {
		c.health = min(c.health+1, maxHealth)
	}
	c.clock += min(gap, c.conf.Period/2)
}

// expire ends suspicions that ran out and forgets members long dead.
func (c *Core) expire() {
	if c.awake.waking {
		return
	}
	kept := c.timed[:0]
	for _, r := range c.timed {
		due := r.deadline <= c.clock
		switch {
		case r.entry.State == Suspect && due:
			c.judge(r, Dead)
			kept = append(kept, r)
		case r.entry.State == Dead && due:
			c.forget(r)
		case r.entry.State != Alive:
			kept = append(kept, r)
		}
	}
	clear(c.timed[len(kept):])
	c.timed = kept
}

// suspicionTimeout is how long a suspect may take to refute. It grows with
// the logarithm of the fleet, as the spread of news does, and with the signs
// that this host is slow.
func (c *Core) suspicionTimeout() time.Duration {
	return c.conf.Period * time.Duration(c.spreadRounds()*(1+c.health))
}

// spreadRounds is the number of periods in which news cross the fleet.
func (c *Core) spreadRounds() int {
	const least = 4
	return max(least, bits.Len(uint(len(c.records)+1)))
}

func (c *Core) send(to netip.AddrPort, updates []Entry, body Body) {
	c.out.Send = append(c.out.Send, Envelope{to, &Message{From: c.self, Updates: updates, Body: body}})
}

func (c *Core) emit(code event.Code, about *Entry) {
	c.out.Events = append(c.out.Events, event.Event{
		Code:   code,
		Detail: about.Address.String(),
		Value:  int64(about.Incarnation),
	})
}

// emitOnce emits at most one event of this code in a period.
func (c *Core) emitOnce(code event.Code, about *Entry) {
	if at, noted := c.noted[code]; noted && at == c.periods {
		return
	}
	c.noted[code] = c.periods
	c.emit(code, about)
}

func (c *Core) effects() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

// Package membership tracks which entry hosts exist and which of them respond.
//
// It is a state machine without I/O: each method takes the time and an input,
// and returns the messages to send and the events to report. It reads no
// clock, opens no socket and takes randomness only from the source in Config. A
// Core must be used on one goroutine only; a Snapshot is immutable and may be
// shared.
//
// The protocol is a randomised failure detector with gossip, in the manner of
// SWIM: each host probes one member per period, directly and then through other
// members; updates are piggybacked on the probes; a suspect may refute; and an
// anti-entropy sync compares the members with one peer at a time. The resulting
// view is an estimate that lags. No safety property may depend on it.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Config configures a Core. Zero durations and counts select the defaults.
type Config struct {
	// Address is the address at which peers reach this host.
	Address netip.AddrPort
	// FailureDomain is the failure domain of this host; at most
	// MaxFailureDomainBytes.
	FailureDomain string
	// Process identifies this process; choose it at random at each start.
	Process uint64
	// Incarnation is the initial incarnation of this host. The start time in
	// milliseconds is suitable; if the clock was set back, the first peer that
	// knows a later incarnation corrects it.
	Incarnation uint64
	// Period is the time between two probes. Default: DefaultPeriod.
	Period time.Duration
	// PauseThreshold is the gap between two inputs that counts as a pause.
	// Default: two periods.
	PauseThreshold time.Duration
	// DeadRetention is how long a dead member is remembered. Default: 600 periods.
	DeadRetention time.Duration
	// MaxMembers is the maximum number of members, which bounds memory.
	// Default: DefaultMaxMembers.
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
	// TicksPerPeriod is how often Tick must be called in one period.
	TicksPerPeriod = 8

	defaultPausePeriods         = 2
	defaultDeadRetentionPeriods = 600
	maxHealth                   = 4   // maximum of Core.health
	maxResponsesPerPeriod       = 512 // maximum responses of any kind sent in one period
	maxSyncRepliesPerPeriod     = 6   // maximum sync replies sent in one period
)

// Effects lists what the caller must do after an input. The caller owns the
// slices.
type Effects struct {
	// Send are the messages to send.
	Send []Envelope
	// Events are the decisions to report; the caller sets At and EntryHost.
	Events []event.Event
}

// record is one known member other than this host.
type record struct {
	entry       Entry
	hash        uint64
	deadline    time.Duration // on Core.clock: a suspect becomes dead, a dead member is removed
	listLeaving bool          // the platform's list marks it as leaving
	outdated    bool          // the entry in its last message was older than entry
	token       uint32        // identifies the newest broadcast of this record
}

// Core is the membership state of one host.
type Core struct {
	conf        Config
	self        Entry
	selfHash    uint64 // address hash of self
	stopped     bool
	lastEmitted map[event.Code]uint64 // period of the last event that emitOnce emitted

	// clock counts observed time: it does not advance during a pause, so that no
	// timer expires because this process was not running.
	clock      time.Duration
	last       time.Time
	nextPeriod time.Duration
	periods    uint64
	health     int // count of signs that this host itself is slow; 0 is healthy

	records  map[netip.AddrPort]*record
	order    []*record // by hash
	expiring []*record // suspect or dead
	queue    broadcasts
	probe    probe
	relays   []relay
	round    []*record // remaining members of the current probe round
	urgent   []*record // members to probe before the round continues

	sync   syncState
	hosts  hostState
	resume resumeState

	metadata metadataState

	responses   int
	syncReplies int

	changes           uint64 // member changes, except those of metadata only
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
		conf.DeadRetention = defaultDeadRetentionPeriods * conf.Period
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
		selfHash:    addressHash(conf.Address),
		last:        now,
		lastEmitted: make(map[event.Code]uint64),
		records:     make(map[netip.AddrPort]*record),
		dirty:       true,
	}
}

// Tick runs the work that is due. It must be called TicksPerPeriod times per
// period.
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

// startPeriod runs the work that is due once per period.
func (c *Core) startPeriod() {
	c.periods++
	c.responses = 0
	c.syncReplies = 0
	if c.minorDirty {
		c.dirty = true
		c.minorDirty = false
	}
	c.publishMetadata()
	c.stepResume()
	c.stepSync()
	c.stepReconnect()
}

// advance moves the clock by the time since the last input. A gap above
// PauseThreshold is a pause.
func (c *Core) advance(now time.Time) {
	gap := now.Sub(c.last)
	c.last = now
	if gap <= 0 {
		return
	}
	if gap > c.conf.PauseThreshold && !c.stopped {
		c.startResuming(gap)
	}
	if gap > c.conf.Period/2 {
		c.health = min(c.health+1, maxHealth)
	}
	c.clock += min(gap, c.conf.Period/2)
}

// expire declares suspects dead whose timeout has elapsed, and removes dead
// members after DeadRetention.
func (c *Core) expire() {
	if c.resume.resuming {
		return
	}
	kept := c.expiring[:0]
	for _, r := range c.expiring {
		due := r.deadline <= c.clock
		switch {
		case r.entry.State == Suspect && due:
			c.declare(r, Dead)
			kept = append(kept, r)
		case r.entry.State == Dead && due:
			c.removeMember(r)
		case r.entry.State != Alive:
			kept = append(kept, r)
		}
	}
	clear(c.expiring[len(kept):])
	c.expiring = kept
}

// suspicionTimeout is how long a suspect may take to refute. It grows with the
// logarithm of the fleet size, as does the dissemination time of updates, and
// with the signs that this host is slow.
func (c *Core) suspicionTimeout() time.Duration {
	return c.conf.Period * time.Duration(c.disseminationRounds()*(1+c.health))
}

// disseminationRounds is the number of periods in which an update reaches the
// whole fleet.
func (c *Core) disseminationRounds() int {
	const minRounds = 4
	return max(minRounds, bits.Len(uint(len(c.records)+1)))
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

// emitOnce emits at most one event with this code per period.
func (c *Core) emitOnce(code event.Code, about *Entry) {
	if at, noted := c.lastEmitted[code]; noted && at == c.periods {
		return
	}
	c.lastEmitted[code] = c.periods
	c.emit(code, about)
}

func (c *Core) effects() Effects {
	out := c.out
	c.out = Effects{}
	return out
}

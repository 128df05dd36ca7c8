package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	wakePeriods      = 10 // periods after which a host that nobody answers acts alone
	metadataPeriods  = 5  // least periods between two news of own metadata
	farewellContacts = 8  // members told at once that this host leaves
)

// ErrMetadataTooLong is returned for metadata over MaxMetadataBytes.
var ErrMetadataTooLong = errors.New("metadata is longer than 64 bytes")

// wakeState is the state after a pause.
type wakeState struct {
	waking bool
	tries  int
}

// metadataState holds the metadata that this host wants to publish.
type metadataState struct {
	wanted []byte
	at     uint64 // period from which it may be published
}

// Wake tells the core of a pause that the clock handed in did not show.
func (c *Core) Wake(now time.Time, pause time.Duration) Effects {
	c.advance(now)
	if !c.stopped {
		c.startWaking(pause)
	}
	return c.effects()
}

// startWaking stops all judging until a peer has told what went on meanwhile.
func (c *Core) startWaking(pause time.Duration) {
	c.probe = probe{}
	c.relays = nil
	c.sync.outstanding = nil
	c.awake.tries = 0
	if c.awake.waking {
		return
	}
	c.awake.waking = true
	c.dirty = true
	c.out.Events = append(c.out.Events, event.Event{Code: event.MemberSelfWaking, Value: pause.Milliseconds()})
}

// stepWake asks a few peers for what went on during the pause.
func (c *Core) stepWake() {
	if !c.awake.waking {
		return
	}
	c.awake.tries++
	alone := len(c.records) == 0 && len(c.hosts.others) == 0
	if alone || c.awake.tries > wakePeriods {
		c.awoken()
		return
	}
	for _, r := range c.sample(joinContacts, func(r *record) bool { return r.entry.State != Dead }) {
		c.requestSync(r.entry.Address)
	}
	c.askListed(1)
}

// awoken lets this host act again. Suspicions start anew: their time ran
// while this host could not hear a refutation.
func (c *Core) awoken() {
	if !c.awake.waking {
		return
	}
	c.awake.waking = false
	for _, r := range c.timed {
		if r.entry.State == Suspect {
			r.deadline = c.clock + c.suspicionTimeout()
		}
	}
	c.raise(c.self.Incarnation + 1)
	c.emit(event.MemberSelfAwake, &c.self)
}

func (c *Core) awakeAndJoined() bool { return c.hosts.joined && !c.awake.waking }

// SetMetadata sets up to MaxMetadataBytes that travel with this host's entry.
// It is published at most every few periods; the newest value wins. It fails
// only with ErrMetadataTooLong.
func (c *Core) SetMetadata(metadata []byte) error {
	if len(metadata) > MaxMetadataBytes {
		return ErrMetadataTooLong
	}
	c.metadata.wanted = slices.Clone(metadata)
	return nil
}

func (c *Core) publishMetadata() {
	if c.periods < c.metadata.at || slices.Equal(c.metadata.wanted, c.self.Metadata) {
		return
	}
	c.metadata.at = c.periods + metadataPeriods
	c.self.Metadata = c.metadata.wanted
	c.raise(c.self.Incarnation + 1)
}

// Leave tells the peers that this host is about to go. It goes on taking part.
func (c *Core) Leave(now time.Time) Effects {
	c.advance(now)
	if !c.stopped {
		c.leave()
	}
	return c.effects()
}

func (c *Core) leave() {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.raise(c.self.Incarnation + 1)
	c.emit(event.MemberSelfLeaving, &c.self)
	c.tell()
}

// Stop tells the peers that this host is gone. The core does nothing more.
func (c *Core) Stop(now time.Time) Effects {
	c.advance(now)
	if c.stopped {
		return c.effects()
	}
	c.self.Leaving = true
	c.raise(c.self.Incarnation + 1)
	c.self.State = Dead
	c.stopped = true
	c.tell()
	return c.effects()
}

// tell sends this host's own news to several members at once.
func (c *Core) tell() {
	for _, r := range c.sample(farewellContacts, func(r *record) bool { return r.entry.State == Alive }) {
		c.send(r.entry.Address, c.piggyback(), SyncPush{})
	}
}

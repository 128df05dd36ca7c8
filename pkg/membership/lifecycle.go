package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	resumePeriods   = 10 // periods without a reply after which a resuming host continues on its own
	metadataPeriods = 5  // minimum periods between two updates of this host's metadata
	leaveFanOut     = 8  // members notified immediately that this host leaves
)

// ErrMetadataTooLong is returned for metadata longer than MaxMetadataBytes.
var ErrMetadataTooLong = errors.New("metadata is longer than 64 bytes")

// resumeState is the state of recovering from a pause.
type resumeState struct {
	resuming bool
	attempts int
}

// metadataState holds the metadata that is waiting to be published.
type metadataState struct {
	wanted []byte
	at     uint64 // earliest period in which it may be published
}

// Resume notifies the core of a pause that the time passed to its methods did not
// show.
func (c *Core) Resume(now time.Time, pause time.Duration) Effects {
	c.advance(now)
	if !c.stopped {
		c.startResuming(pause)
	}
	return c.effects()
}

// startResuming suspends failure detection until a sync with a peer has brought
// this host up to date.
func (c *Core) startResuming(pause time.Duration) {
	c.probe = probe{}
	c.relays = nil
	c.sync.outstanding = nil
	c.resume.attempts = 0
	if c.resume.resuming {
		return
	}
	c.resume.resuming = true
	c.dirty = true
	c.out.Events = append(c.out.Events, event.Event{Code: event.MemberSelfWaking, Value: pause.Milliseconds()})
}

// stepResume requests syncs from a few peers for the changes during the pause.
func (c *Core) stepResume() {
	if !c.resume.resuming {
		return
	}
	c.resume.attempts++
	alone := len(c.records) == 0 && len(c.hosts.others) == 0
	if alone || c.resume.attempts > resumePeriods {
		c.finishResuming()
		return
	}
	for _, r := range c.sample(joinContacts, func(r *record) bool { return r.entry.State != Dead }) {
		c.requestSync(r.entry.Address)
	}
	c.syncWithListed(1)
}

// finishResuming restarts failure detection. Suspicion timeouts start anew: they
// ran while this host could not receive a refutation.
func (c *Core) finishResuming() {
	if !c.resume.resuming {
		return
	}
	c.resume.resuming = false
	for _, r := range c.expiring {
		if r.entry.State == Suspect {
			r.deadline = c.clock + c.suspicionTimeout()
		}
	}
	c.raiseIncarnation(c.self.Incarnation + 1)
	c.emit(event.MemberSelfAwake, &c.self)
}

func (c *Core) active() bool { return c.hosts.joined && !c.resume.resuming }

// SetMetadata sets up to MaxMetadataBytes of metadata in this host's entry. It
// is published at most every few periods; the newest value wins. The only error
// is ErrMetadataTooLong.
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
	c.raiseIncarnation(c.self.Incarnation + 1)
}

// Leave announces to the peers that this host is about to leave. The host keeps
// participating.
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
	c.raiseIncarnation(c.self.Incarnation + 1)
	c.emit(event.MemberSelfLeaving, &c.self)
	c.announceSelf()
}

// Stop announces to the peers that this host has left. The core is inactive from
// then on.
func (c *Core) Stop(now time.Time) Effects {
	c.advance(now)
	if c.stopped {
		return c.effects()
	}
	c.self.Leaving = true
	c.raiseIncarnation(c.self.Incarnation + 1)
	c.self.State = Dead
	c.stopped = true
	c.announceSelf()
	return c.effects()
}

// announceSelf sends this host's own entry to several members immediately.
func (c *Core) announceSelf() {
	for _, r := range c.sample(leaveFanOut, func(r *record) bool { return r.entry.State == Alive }) {
		c.send(r.entry.Address, c.piggyback(), SyncPush{})
	}
}

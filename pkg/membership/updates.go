package membership

import (
	"cmp"
	"slices"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// updateSource is how an update reached this host.
type updateSource uint8

const (
	direct updateSource = iota // from the member itself
	gossip                     // piggybacked, so at most a few periods old
	synced                     // from a sync, of any age
)

// applyUpdate applies an update about a member if it is newer than the known entry.
func (c *Core) applyUpdate(e Entry, via updateSource) {
	if !e.Valid() {
		return
	}
	if e.Address == c.self.Address {
		c.applySelfUpdate(&e)
		return
	}
	r := c.records[e.Address]
	if r == nil {
		c.addMember(e, via)
		return
	}
	if !e.newerThan(&r.entry) {
		return
	}
	if via == synced && e.State == Dead && r.entry.State != Dead {
		c.verifyDeath(r, e)
		return
	}
	c.replaceEntry(r, e, via)
}

// addMember adds an unknown member. Dead members are not added: they would
// reappear for as long as some host remembers them.
func (c *Core) addMember(e Entry, via updateSource) {
	if e.State == Dead {
		return
	}
	if e.Address == c.self.Address {
		c.emit(event.InvariantSelfOverwritten, &e)
		return
	}
	if len(c.records) >= c.conf.MaxMembers {
		c.emitOnce(event.MemberLimitReached, &e)
		return
	}
	r := &record{entry: e, hash: addressHash(e.Address)}
	r.listLeaving = c.hosts.listed[e.Address]
	c.records[e.Address] = r
	at, _ := slices.BinarySearchFunc(c.order, r.hash, compareHash)
	c.order = slices.Insert(c.order, at, r)
	c.insertIntoRound(r)
	c.emit(event.MemberJoined, &r.entry)
	c.entryChanged(r, Alive, false, via)
}

func compareHash(r *record, hash uint64) int { return cmp.Compare(r.hash, hash) }

// replaceEntry replaces the entry of r by the newer entry e.
func (c *Core) replaceEntry(r *record, e Entry, via updateSource) {
	old := r.entry
	if !e.newerThan(&old) || e.Address != old.Address {
		c.emit(event.InvariantIncarnationBack, &e)
		return
	}
	minor := old.State == Alive && e.State == Alive && old.Process == e.Process && old.Leaving == e.Leaving
	r.entry = e
	if old.Process != e.Process {
		c.emit(event.MemberRestarted, &r.entry)
	}
	if e.Leaving && !old.Leaving {
		c.emit(event.MemberLeaving, &r.entry)
	}
	if old.State == Dead && e.State != Dead {
		c.insertIntoRound(r)
	}
	c.entryChanged(r, old.State, minor, via)
}

// entryChanged carries out the consequences of a new entry in r. Updates from a
// sync may be old, so they are not gossiped but left to further syncs.
func (c *Core) entryChanged(r *record, was State, minor bool, via updateSource) {
	switch r.entry.State {
	case Alive:
		if was != Alive {
			c.emit(event.MemberAlive, &r.entry)
		}
	case Suspect:
		r.deadline = c.clock + c.suspicionTimeout()
		c.emit(event.MemberSuspected, &r.entry)
	case Dead:
		r.deadline = c.clock + c.conf.DeadRetention
		c.emit(event.MemberDead, &r.entry)
	}
	if was == Alive && r.entry.State != Alive && !slices.Contains(c.expiring, r) {
		c.expiring = append(c.expiring, r)
	}
	r.token++
	if via != synced {
		c.queue.add(r, minor)
	}
	if minor {
		c.minorDirty = true
		return
	}
	c.changes++
	c.dirty = true
}

// declare sets the state of a member by this host's own failure detection.
func (c *Core) declare(r *record, s State) {
	if c.resume.resuming {
		c.emit(event.InvariantWakingJudged, &r.entry)
		return
	}
	if s == Dead && (r.entry.State != Suspect || r.deadline > c.clock) {
		c.emit(event.InvariantDeathUntimed, &r.entry)
		return
	}
	e := r.entry
	e.State = s
	c.replaceEntry(r, e, direct)
}

// removeMember removes a member that has been dead for DeadRetention.
func (c *Core) removeMember(r *record) {
	c.emit(event.MemberForgotten, &r.entry)
	r.token++
	delete(c.records, r.entry.Address)
	if at := slices.Index(c.order, r); at >= 0 {
		c.order = slices.Delete(c.order, at, at+1)
	}
	c.dirty = true
}

// applySelfUpdate refutes an update about this host that it did not issue, by
// raising its incarnation. It never applies such an update.
func (c *Core) applySelfUpdate(e *Entry) {
	if e.Incarnation < c.self.Incarnation || c.stopped {
		return
	}
	if e.Process != c.self.Process {
		if e.State == Alive {
			c.emitOnce(event.MemberAddressContested, e)
		}
		c.raiseIncarnation(e.Incarnation + 1)
		return
	}
	if e.Incarnation == c.self.Incarnation && e.State == Alive {
		return
	}
	c.raiseIncarnation(e.Incarnation + 1)
	c.health = min(c.health+1, maxHealth)
	c.emit(event.MemberSelfRefuted, &c.self)
}

// raiseIncarnation increases the incarnation of this host's entry.
func (c *Core) raiseIncarnation(incarnation uint64) {
	if incarnation <= c.self.Incarnation {
		c.emit(event.InvariantSelfOverwritten, &c.self)
		return
	}
	c.self.Incarnation = incarnation
	c.dirty = true
}

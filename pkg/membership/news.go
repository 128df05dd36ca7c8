package membership

import (
	"cmp"
	"slices"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// source is how news came to this host.
type source uint8

const (
	direct source = iota // from the member itself
	gossip               // piggybacked, so at most a few periods old
	synced               // from a comparison, of any age
)

// learn takes in news about a member, if they are new.
func (c *Core) learn(e Entry, via source) {
	if !e.Valid() {
		return
	}
	if e.Address == c.self.Address {
		c.hearOfSelf(&e)
		return
	}
	r := c.records[e.Address]
	if r == nil {
		c.admit(e, via)
		return
	}
	if !e.newerThan(&r.entry) {
		return
	}
	if via == synced && e.State == Dead && r.entry.State != Dead {
		c.verify(r, e)
		return
	}
	c.replace(r, e, via)
}

// admit takes in a member that was not known. The dead are not taken in: they
// would come back for as long as some host remembers them.
func (c *Core) admit(e Entry, via source) {
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
	c.enterTurn(r)
	c.emit(event.MemberJoined, &r.entry)
	c.changed(r, Alive, false, via)
}

func compareHash(r *record, hash uint64) int { return cmp.Compare(r.hash, hash) }

// replace puts news e in place of older ones.
func (c *Core) replace(r *record, e Entry, via source) {
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
		c.enterTurn(r)
	}
	c.changed(r, old.State, minor, via)
}

// changed does what follows from new news in r. News from a comparison may be
// old, and are left to comparisons to spread.
func (c *Core) changed(r *record, was State, minor bool, via source) {
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
	if was == Alive && r.entry.State != Alive && !slices.Contains(c.timed, r) {
		c.timed = append(c.timed, r)
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

// judge is this host's own judgement of a member.
func (c *Core) judge(r *record, s State) {
	if c.awake.waking {
		c.emit(event.InvariantWakingJudged, &r.entry)
		return
	}
	if s == Dead && (r.entry.State != Suspect || r.deadline > c.clock) {
		c.emit(event.InvariantDeathUntimed, &r.entry)
		return
	}
	e := r.entry
	e.State = s
	c.replace(r, e, direct)
}

// forget drops a member that was dead for long.
func (c *Core) forget(r *record) {
	c.emit(event.MemberForgotten, &r.entry)
	r.token++
	delete(c.records, r.entry.Address)
	if at := slices.Index(c.order, r); at >= 0 {
		c.order = slices.Delete(c.order, at, at+1)
	}
	c.dirty = true
}

// hearOfSelf answers news about this host that it did not issue: it issues
// newer ones. It never takes them over.
func (c *Core) hearOfSelf(e *Entry) {
	if e.Incarnation < c.self.Incarnation || c.stopped {
		return
	}
	if e.Process != c.self.Process {
		if e.State == Alive {
			c.emitOnce(event.MemberAddressContested, e)
		}
		c.raise(e.Incarnation + 1)
		return
	}
	if e.Incarnation == c.self.Incarnation && e.State == Alive {
		return
	}
	c.raise(e.Incarnation + 1)
	c.health = min(c.health+1, maxHealth)
	c.emit(event.MemberSelfRefuted, &c.self)
}

// raise issues newer news about this host.
func (c *Core) raise(incarnation uint64) {
	if incarnation <= c.self.Incarnation {
		c.emit(event.InvariantSelfOverwritten, &c.self)
		return
	}
	c.self.Incarnation = incarnation
	c.dirty = true
}

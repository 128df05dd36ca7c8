package membership

import "time"

// Receive takes in a message from the wire.
func (c *Core) Receive(now time.Time, m *Message) Effects {
	c.advance(now)
	if c.stopped || !c.acceptable(m) {
		return c.effects()
	}
	c.learn(m.From, direct)
	if r := c.records[m.From.Address]; r != nil {
		r.behind = r.entry.newerThan(&m.From)
	}
	reply, isReply := m.Body.(SyncReply)
	expected := isReply && c.takeSync(reply.Sequence)
	via := gossip
	if _, isPush := m.Body.(SyncPush); isPush || isReply {
		via = synced
	}
	before := c.changes
	var behind []Entry
	for _, e := range m.Updates {
		if r := c.records[e.Address]; expected && r != nil && r.entry.newerThan(&e) {
			behind = append(behind, r.entry)
		}
		c.learn(e, via)
	}
	if m.From.State == Dead {
		return c.effects()
	}
	c.answer(m, expected, behind, c.changes-before)
	return c.effects()
}

// acceptable reports whether m has a sender that can speak for itself.
func (c *Core) acceptable(m *Message) bool {
	if !m.From.Valid() || m.From.Address == c.self.Address {
		return false
	}
	return m.From.State == Alive || m.From.State == Dead && m.From.Leaving
}

// answer does what the body asks for, within the bounds of a period.
func (c *Core) answer(m *Message, expected bool, behind []Entry, changes uint64) {
	if b, isAck := m.Body.(Ack); isAck && c.ownAck(b) {
		return
	}
	from := c.records[m.From.Address]
	if from == nil || c.answers >= answersPerPeriod {
		return
	}
	c.answers++
	switch b := m.Body.(type) {
	case Ping:
		c.send(from.entry.Address, c.withNewsOf(from), Ack(b))
	case PingRequest:
		c.pingFor(m, b)
	case Ack:
		c.passOn(b)
		c.nudge(from)
	case SyncRequest:
		c.replySync(from, b)
	case SyncReply:
		c.nudge(from)
		if expected {
			c.finishSync(m, b, behind, changes)
		}
	}
}

// nudge tells a sender of newer news about it, which it must refute.
func (c *Core) nudge(from *record) {
	if from.behind {
		c.ping(from, c.conf.Rand.Uint64())
	}
}

// pingFor probes a target on behalf of another host.
func (c *Core) pingFor(m *Message, b PingRequest) {
	target := c.records[b.Target]
	if target == nil {
		return
	}
	c.relays = append(c.relays, relay{
		sequence: c.conf.Rand.Uint64(),
		origin:   m.From.Address,
		answer:   b.Sequence,
		until:    c.clock + c.conf.Period,
	})
	c.ping(target, c.relays[len(c.relays)-1].sequence)
	for len(c.relays) > maxRelays || c.relays[0].until < c.clock {
		c.relays = c.relays[1:]
	}
}

// ownAck ends the current probe, if b answers it and no more is to be said.
func (c *Core) ownAck(b Ack) bool {
	if c.probe.target == nil || b.Sequence != c.probe.sequence {
		return false
	}
	behind := c.probe.target.behind
	c.probe.target = nil
	c.probe.endAt = min(c.probe.endAt, c.nextPeriod)
	c.health = max(c.health-1, 0)
	return !behind
}

// passOn sends the answer to a ping made for another host to that host.
func (c *Core) passOn(b Ack) {
	for i, r := range c.relays {
		if r.sequence == b.Sequence {
			c.relays = append(c.relays[:i:i], c.relays[i+1:]...)
			c.send(r.origin, c.piggyback(), Ack{r.answer})
			return
		}
	}
}

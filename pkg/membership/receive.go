package membership

import "time"

// Receive handles a message from a peer.
func (c *Core) Receive(now time.Time, m *Message) Effects {
	c.advance(now)
	if c.stopped || !c.validSender(m) {
		return c.effects()
	}
	c.applyUpdate(m.From, direct)
	if r := c.records[m.From.Address]; r != nil {
		r.outdated = r.entry.newerThan(&m.From)
	}
	reply, isReply := m.Body.(SyncReply)
	expected := isReply && c.closeSync(reply.Sequence)
	via := gossip
	if _, isPush := m.Body.(SyncPush); isPush || isReply {
		via = synced
	}
	before := c.changes
	var toPush []Entry
	for _, e := range m.Updates {
		if r := c.records[e.Address]; expected && r != nil && r.entry.newerThan(&e) {
			toPush = append(toPush, r.entry)
		}
		c.applyUpdate(e, via)
	}
	if m.From.State == Dead {
		return c.effects()
	}
	c.respond(m, expected, toPush, c.changes-before)
	return c.effects()
}

// validSender reports whether m has a valid sender: another host that is alive or
// announces its own stop.
func (c *Core) validSender(m *Message) bool {
	if !m.From.Valid() || m.From.Address == c.self.Address {
		return false
	}
	return m.From.State == Alive || m.From.State == Dead && m.From.Leaving
}

// respond handles the body, within the response limits of a period.
func (c *Core) respond(m *Message, expected bool, toPush []Entry, changes uint64) {
	if b, isAck := m.Body.(Ack); isAck && c.handleAck(b) {
		return
	}
	from := c.records[m.From.Address]
	if from == nil || c.responses >= maxResponsesPerPeriod {
		return
	}
	c.responses++
	switch b := m.Body.(type) {
	case Ping:
		c.send(from.entry.Address, c.piggybackFor(from), Ack(b))
	case PingRequest:
		c.relayPing(m, b)
	case Ack:
		c.forwardAck(b)
		c.requestRefutation(from)
	case SyncRequest:
		c.replySync(from, b)
	case SyncReply:
		c.requestRefutation(from)
		if expected {
			c.finishSync(m, b, toPush, changes)
		}
	}
}

// requestRefutation sends a member the newer entry about itself, which it must
// refute.
func (c *Core) requestRefutation(from *record) {
	if from.outdated {
		c.ping(from, c.conf.Rand.Uint64())
	}
}

// relayPing probes a target on behalf of another host.
func (c *Core) relayPing(m *Message, b PingRequest) {
	target := c.records[b.Target]
	if target == nil {
		return
	}
	c.relays = append(c.relays, relay{
		sequence:    c.conf.Rand.Uint64(),
		origin:      m.From.Address,
		ackSequence: b.Sequence,
		until:       c.clock + c.conf.Period,
	})
	c.ping(target, c.relays[len(c.relays)-1].sequence)
	for len(c.relays) > maxRelays || c.relays[0].until < c.clock {
		c.relays = c.relays[1:]
	}
}

// handleAck ends the current probe if b acknowledges it. It reports whether b needs
// no further handling.
func (c *Core) handleAck(b Ack) bool {
	if c.probe.target == nil || b.Sequence != c.probe.sequence {
		return false
	}
	outdated := c.probe.target.outdated
	c.probe.target = nil
	c.probe.endAt = min(c.probe.endAt, c.nextPeriod)
	c.health = max(c.health-1, 0)
	return !outdated
}

// forwardAck forwards the ack of a ping sent on behalf of another host to that host.
func (c *Core) forwardAck(b Ack) {
	for i, r := range c.relays {
		if r.sequence == b.Sequence {
			c.relays = append(c.relays[:i:i], c.relays[i+1:]...)
			c.send(r.origin, c.piggyback(), Ack{r.ackSequence})
			return
		}
	}
}

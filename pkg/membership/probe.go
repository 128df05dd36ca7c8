package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	indirectProbes = 3  // helpers used when a probe gets no ack
	helperSample   = 12 // members sampled to choose helpers from
	maxRelays      = 64 // pending pings on behalf of other hosts
	maxUrgent      = 16 // members to probe ahead of the round
	// retryShare is the percentage of a period after which a probe without an
	// ack is repeated, directly and through helpers.
	retryShare   = 30
	probeRetries = 2
)

// probe is the probe in progress; there is at most one.
type probe struct {
	target   *record
	sequence uint64
	retries  int // remaining
	retryAt  time.Duration
	endAt    time.Duration
}

// relay is a ping sent on behalf of another host.
type relay struct {
	sequence    uint64
	origin      netip.AddrPort
	ackSequence uint64 // sequence of the ack that the origin expects
	until       time.Duration
}

// stepProbe advances the current probe and starts the next one.
func (c *Core) stepProbe() {
	if c.resume.resuming {
		return
	}
	if c.probe.target != nil && c.probe.retries > 0 && c.clock >= c.probe.retryAt {
		c.retryProbe()
	}
	if c.clock < c.probe.endAt {
		return
	}
	c.endProbe()
	c.startProbe()
}

// endProbe marks the target as suspect if no ack arrived.
func (c *Core) endProbe() {
	r := c.probe.target
	c.probe.target = nil
	if r == nil || c.records[r.entry.Address] != r {
		return
	}
	if r.entry.State == Alive {
		c.declare(r, Suspect)
	}
}

func (c *Core) startProbe() {
	r := c.nextTarget()
	c.probe.endAt = c.clock + c.conf.Period
	if r == nil {
		return
	}
	stretch := time.Duration(1 + c.health)
	c.probe = probe{
		target:   r,
		sequence: c.conf.Rand.Uint64(),
		retries:  probeRetries,
		retryAt:  c.clock + c.retryInterval(),
		endAt:    c.clock + c.conf.Period*stretch,
	}
	c.ping(r, c.probe.sequence)
}

// ping probes r and includes any update about r that it must refute.
func (c *Core) ping(r *record, sequence uint64) {
	c.send(r.entry.Address, c.piggybackFor(r), Ping{sequence})
}

// piggybackFor returns the piggybacked updates for r: its own entry, if it must
// refute it, comes first.
func (c *Core) piggybackFor(r *record) []Entry {
	if r.entry.State == Alive && !r.outdated {
		return c.piggyback()
	}
	return append([]Entry{r.entry}, c.piggyback()...)
}

// nextTarget iterates over all members that are not dead, in a random order that
// is reshuffled for each round. Urgent members come first.
func (c *Core) nextTarget() *record {
	for len(c.urgent) > 0 {
		r := c.urgent[0]
		c.urgent = c.urgent[1:]
		if c.probeable(r) {
			return r
		}
	}
	if len(c.round) == 0 {
		c.round = append(c.round, c.order...)
		c.conf.Rand.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	for len(c.round) > 0 {
		r := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if c.probeable(r) {
			return r
		}
	}
	return nil
}

func (c *Core) probeable(r *record) bool {
	return r.entry.State != Dead && c.records[r.entry.Address] == r
}

// insertIntoRound inserts a new member at a random position of the current round.
func (c *Core) insertIntoRound(r *record) {
	at := c.conf.Rand.IntN(len(c.round) + 1)
	c.round = slices.Insert(c.round, at, r)
}

// verifyDeath checks a possibly outdated claim that a member is dead: it sends the
// claim to the member and probes it next. The claim itself is not applied.
func (c *Core) verifyDeath(r *record, claim Entry) {
	if len(c.urgent) >= maxUrgent || slices.Contains(c.urgent, r) {
		return
	}
	c.urgent = append(c.urgent, r)
	c.send(r.entry.Address, []Entry{claim}, Ping{c.conf.Rand.Uint64()})
}

func (c *Core) retryInterval() time.Duration {
	return c.conf.Period * retryShare / 100 * time.Duration(1+c.health)
}

// retryProbe probes the target again and requests indirect probes from members
// in several failure domains.
func (c *Core) retryProbe() {
	c.probe.retries--
	c.probe.retryAt = c.clock + c.retryInterval()
	target := c.probe.target
	c.ping(target, c.probe.sequence)
	for _, h := range c.chooseHelpers(target) {
		c.send(h.entry.Address, c.piggybackFor(target), PingRequest{c.probe.sequence, target.entry.Address})
	}
}

// chooseHelpers selects live members from as many failure domains as the sample
// contains.
func (c *Core) chooseHelpers(target *record) []*record {
	sample := c.sample(helperSample, func(r *record) bool { return r != target && r.entry.State == Alive })
	var chosen, rest []*record
	seen := make(map[string]bool)
	for _, r := range sample {
		if seen[r.entry.FailureDomain] {
			rest = append(rest, r)
			continue
		}
		seen[r.entry.FailureDomain] = true
		chosen = append(chosen, r)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(indirectProbes, len(chosen))]
}

// sample selects up to n different members at random that pass the filter. Its
// cost does not grow with the fleet.
func (c *Core) sample(n int, keep func(*record) bool) []*record {
	var out []*record
	if len(c.order) <= 2*n {
		for _, i := range c.conf.Rand.Perm(len(c.order)) {
			if len(out) < n && keep(c.order[i]) {
				out = append(out, c.order[i])
			}
		}
		return out
	}
	for attempts := 0; attempts < 4*n && len(out) < n; attempts++ {
		r := c.order[c.conf.Rand.IntN(len(c.order))]
		if keep(r) && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

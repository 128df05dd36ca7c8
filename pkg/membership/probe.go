package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	indirectProbes = 3  // helpers asked when a probe gets no answer
	helperSample   = 12 // members looked at to find helpers
	maxRelays      = 64 // pings made for others that wait for an answer
	maxUrgent      = 16 // members to be probed out of turn
	// retryShare is the part of a period, in percent, after which a probe that
	// has no answer is repeated, directly and through helpers.
	retryShare   = 30
	probeRetries = 2
)

// probe is the one member being probed.
type probe struct {
	target   *record
	sequence uint64
	retries  int // left
	retryAt  time.Duration
	endAt    time.Duration
}

// relay is a ping made on behalf of another host.
type relay struct {
	sequence uint64
	origin   netip.AddrPort
	answer   uint64 // sequence the origin waits for
	until    time.Duration
}

// stepProbe drives the current probe and starts the next one.
func (c *Core) stepProbe() {
	if c.awake.waking {
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

// endProbe suspects the target if no answer came.
func (c *Core) endProbe() {
	r := c.probe.target
	c.probe.target = nil
	if r == nil || c.records[r.entry.Address] != r {
		return
	}
	if r.entry.State == Alive {
		c.judge(r, Suspect)
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

// ping probes r and tells it at once what is held against it.
func (c *Core) ping(r *record, sequence uint64) {
	c.send(r.entry.Address, c.withNewsOf(r), Ping{sequence})
}

// withNewsOf returns the piggyback for r itself: what it must refute goes first.
func (c *Core) withNewsOf(r *record) []Entry {
	if r.entry.State == Alive && !r.behind {
		return c.piggyback()
	}
	return append([]Entry{r.entry}, c.piggyback()...)
}

// nextTarget walks over all members that are not dead, in a random order that
// is drawn anew for each round.
func (c *Core) nextTarget() *record {
	for len(c.urgent) > 0 {
		r := c.urgent[0]
		c.urgent = c.urgent[1:]
		if c.probeable(r) {
			return r
		}
	}
	if len(c.turn) == 0 {
		c.turn = append(c.turn, c.order...)
		c.conf.Rand.Shuffle(len(c.turn), func(i, j int) { c.turn[i], c.turn[j] = c.turn[j], c.turn[i] })
	}
	for len(c.turn) > 0 {
		r := c.turn[len(c.turn)-1]
		c.turn = c.turn[:len(c.turn)-1]
		if c.probeable(r) {
			return r
		}
	}
	return nil
}

func (c *Core) probeable(r *record) bool {
	return r.entry.State != Dead && c.records[r.entry.Address] == r
}

// enterTurn puts a new member at a random place of the current round.
func (c *Core) enterTurn(r *record) {
	at := c.conf.Rand.IntN(len(c.turn) + 1)
	c.turn = slices.Insert(c.turn, at, r)
}

// verify checks an old claim that a member is dead: the member hears of it
// and is probed next. The claim itself is not taken over.
func (c *Core) verify(r *record, claim Entry) {
	if len(c.urgent) >= maxUrgent || slices.Contains(c.urgent, r) {
		return
	}
	c.urgent = append(c.urgent, r)
	c.send(r.entry.Address, []Entry{claim}, Ping{c.conf.Rand.Uint64()})
}

func (c *Core) retryInterval() time.Duration {
	return c.conf.Period * retryShare / 100 * time.Duration(1+c.health)
}

// retryProbe probes the target again, and asks members in several failure
// domains to do the same.
func (c *Core) retryProbe() {
	c.probe.retries--
	c.probe.retryAt = c.clock + c.retryInterval()
	target := c.probe.target
	c.ping(target, c.probe.sequence)
	for _, h := range c.helpers(target) {
		c.send(h.entry.Address, c.withNewsOf(target), PingRequest{c.probe.sequence, target.entry.Address})
	}
}

// helpers draws members that are alive, over as many failure domains as the
// sample holds.
func (c *Core) helpers(target *record) []*record {
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

// sample draws up to n different members that pass the filter. Its cost does
// not grow with the fleet.
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
	for tries := 0; tries < 4*n && len(out) < n; tries++ {
		r := c.order[c.conf.Rand.IntN(len(c.order))]
		if keep(r) && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

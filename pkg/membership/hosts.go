package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	joinContacts   = 3  // hosts asked in a period while joining or waking
	joinPeriods    = 10 // periods after which a host that nobody answers starts alone
	joinPerPeriod  = 4  // tries in a period while joining: a fleet that starts has some hosts late
	reconnectEvery = 3  // periods between two tries to reach a host held for dead
	settlePeriods  = 30 // periods after the start in which such a try is made each time
)

// ListedHost is one entry of the platform's lagging host list.
type ListedHost struct {
	// Address is where peers reach the host.
	Address netip.AddrPort
	// Leaving is true when the platform is about to remove the host.
	Leaving bool
}

// hostState is what the platform's list said last.
type hostState struct {
	read     bool
	revision uint64
	listed   map[netip.AddrPort]bool // leaving, by address
	others   []netip.AddrPort        // without this host, sorted
	selfLive bool                    // a list has shown this host as live
	joined   bool
	tries    int
	nextTry  time.Duration // on Core.clock
}

// SetHosts takes in the platform's host list. An older list than the last one
// is ignored. The list makes no member: it only names addresses to ask.
func (c *Core) SetHosts(now time.Time, revision uint64, hosts []ListedHost) Effects {
	c.advance(now)
	if c.stopped || c.hosts.read && revision < c.hosts.revision {
		return c.effects()
	}
	c.hosts.read = true
	c.hosts.revision = revision
	c.hosts.listed = make(map[netip.AddrPort]bool, len(hosts))
	c.hosts.others = c.hosts.others[:0]
	for _, h := range hosts {
		if len(c.hosts.listed) >= c.conf.MaxMembers {
			break
		}
		c.hosts.listed[h.Address] = h.Leaving
		if h.Address != c.self.Address {
			c.hosts.others = append(c.hosts.others, h.Address)
		}
	}
	slices.SortFunc(c.hosts.others, netip.AddrPort.Compare)
	if unheard := c.unheard(); c.snapshot == nil || !slices.Equal(unheard, c.snapshot.Unheard) {
		c.dirty = true
	}
	c.mergeLeaving()
	if len(c.hosts.others) == 0 {
		c.joined()
	}
	return c.effects()
}

// mergeLeaving marks the members that the list shows as leaving. This host
// takes the mark for itself only when an earlier list showed it as live: the
// first list may still speak of the process before.
func (c *Core) mergeLeaving() {
	for _, r := range c.order {
		leaving := c.hosts.listed[r.entry.Address]
		if leaving != r.listLeaving {
			r.listLeaving = leaving
			c.dirty = true
		}
	}
	leaving, listed := c.hosts.listed[c.self.Address]
	if listed && !leaving {
		c.hosts.selfLive = true
	}
	if leaving && c.hosts.selfLive {
		c.leave()
	}
}

// stepJoin asks a few listed hosts for their members until one answers. A fleet
// that starts together may have few listed hosts, which answer a few in a period;
// so a host that it has heard of is asked too.
func (c *Core) stepJoin() {
	if c.hosts.joined || !c.hosts.read {
		return
	}
	if c.clock < c.hosts.nextTry {
		return
	}
	c.hosts.nextTry = c.clock + c.conf.Period/joinPerPeriod
	c.hosts.tries++
	if c.hosts.tries > joinPeriods*joinPerPeriod {
		c.joined()
		return
	}
	c.askListed(joinContacts)
	for _, r := range c.sample(1, func(r *record) bool { return r.entry.State == Alive }) {
		c.requestSync(r.entry.Address)
	}
}

// askListed compares with up to n listed hosts, drawn at random.
func (c *Core) askListed(n int) {
	for _, i := range c.pick(len(c.hosts.others), n) {
		c.requestSync(c.hosts.others[i])
	}
}

// pick draws up to k of n indexes.
func (c *Core) pick(n, k int) []int {
	if n <= k {
		return c.conf.Rand.Perm(n)
	}
	var out []int
	for len(out) < k {
		if i := c.conf.Rand.IntN(n); !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// joined notes that this host has learnt from a peer, or found none.
func (c *Core) joined() {
	if c.hosts.joined {
		return
	}
	c.hosts.joined = true
	c.dirty = true
	c.out.Events = append(c.out.Events, event.Event{Code: event.MemberSelfJoined, Value: int64(len(c.records))})
}

// stepReconnect tries now and then to reach a host that is dead or was never
// heard of, so that a split that healed finds itself again.
func (c *Core) stepReconnect() {
	settling := c.periods < settlePeriods
	if c.periods%reconnectEvery != 0 && !settling || !c.awakeAndJoined() {
		return
	}
	if c.periods%(2*reconnectEvery) == 0 || settling {
		for _, i := range c.pick(len(c.hosts.others), 1) {
			c.reconnect(c.hosts.others[i])
		}
		return
	}
	for _, i := range c.pick(len(c.timed), 1) {
		c.reconnect(c.timed[i].entry.Address)
	}
}

func (c *Core) reconnect(a netip.AddrPort) {
	r := c.records[a]
	if r == nil || r.entry.State == Dead {
		c.requestSync(a)
	}
}

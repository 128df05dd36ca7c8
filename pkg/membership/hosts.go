package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	joinContacts      = 3  // hosts contacted per attempt while joining, or per period while resuming
	joinPeriods       = 10 // periods without a reply after which a host starts alone
	joinPerPeriod     = 4  // join attempts per period: in a fleet that starts, some hosts are late
	reconnectInterval = 3  // periods between two attempts to reach a host considered dead
	settlePeriods     = 30 // periods after the start in which an attempt is made every period
)

// ListedHost is one entry of the platform's lagging host list.
type ListedHost struct {
	// Address is the address at which peers reach the host.
	Address netip.AddrPort
	// Leaving is true when the platform is about to remove the host.
	Leaving bool
}

// hostState is the state of the platform's host list and of joining.
type hostState struct {
	read     bool
	revision uint64
	listed   map[netip.AddrPort]bool // leaving, by address
	others   []netip.AddrPort        // without this host, sorted
	selfLive bool                    // some list has shown this host as live
	joined   bool
	attempts int
	nextTry  time.Duration // on Core.clock
}

// SetHosts applies the platform's host list. A list that is older than the last
// one is ignored. The list adds no members: it only provides addresses to
// contact.
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
	if unheard := c.unheard(); c.snapshot == nil || !slices.Equal(unheard, c.snapshot.UnknownHosts) {
		c.dirty = true
	}
	c.mergeLeaving()
	if len(c.hosts.others) == 0 {
		c.markJoined()
	}
	return c.effects()
}

// mergeLeaving marks the members that the list shows as leaving. This host
// applies the mark to itself only when an earlier list showed it as live: the
// first list may still refer to the previous process.
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

// stepJoin requests syncs from a few listed hosts until one replies. When a whole
// fleet starts together, few hosts may be listed, and each sends a limited number
// of sync replies per period; so one known member is contacted as well.
func (c *Core) stepJoin() {
	if c.hosts.joined || !c.hosts.read {
		return
	}
	if c.clock < c.hosts.nextTry {
		return
	}
	c.hosts.nextTry = c.clock + c.conf.Period/joinPerPeriod
	c.hosts.attempts++
	if c.hosts.attempts > joinPeriods*joinPerPeriod {
		c.markJoined()
		return
	}
	c.syncWithListed(joinContacts)
	for _, r := range c.sample(1, func(r *record) bool { return r.entry.State == Alive }) {
		c.requestSync(r.entry.Address)
	}
}

// syncWithListed requests syncs from up to n listed hosts, chosen at random.
func (c *Core) syncWithListed(n int) {
	for _, i := range c.pick(len(c.hosts.others), n) {
		c.requestSync(c.hosts.others[i])
	}
}

// pick returns up to k of n indexes at random.
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

// markJoined records that this host has synced with a peer, or found none.
func (c *Core) markJoined() {
	if c.hosts.joined {
		return
	}
	c.hosts.joined = true
	c.dirty = true
	c.out.Events = append(c.out.Events, event.Event{Code: event.MemberSelfJoined, Value: int64(len(c.records))})
}

// stepReconnect periodically attempts to reach a host that is considered dead or
// was never known, so that the two sides of a healed partition find each other
// again.
func (c *Core) stepReconnect() {
	settling := c.periods < settlePeriods
	if c.periods%reconnectInterval != 0 && !settling || !c.active() {
		return
	}
	if c.periods%(2*reconnectInterval) == 0 || settling {
		for _, i := range c.pick(len(c.hosts.others), 1) {
			c.reconnect(c.hosts.others[i])
		}
		return
	}
	for _, i := range c.pick(len(c.expiring), 1) {
		c.reconnect(c.expiring[i].entry.Address)
	}
}

func (c *Core) reconnect(a netip.AddrPort) {
	r := c.records[a]
	if r == nil || r.entry.State == Dead {
		c.requestSync(a)
	}
}

package membership

import (
	"net/netip"
	"slices"
)

// Member is one entry host in a snapshot.
type Member struct {
	Entry
	// ListLeaving is true when the platform's list marks the member as leaving.
	ListLeaving bool
}

// Usable reports whether m is alive and not about to leave. It is an estimate.
func (m *Member) Usable() bool {
	return m.State == Alive && !m.Leaving && !m.ListLeaving
}

// Status returns "alive", "suspect", "leaving" or "dead" for operators.
func (m *Member) Status() string {
	if m.State == Alive && !m.Usable() {
		return "leaving"
	}
	return m.State.String()
}

// Snapshot is the view of one host at one point in time. It is immutable.
type Snapshot struct {
	// Version increases with each new snapshot of this process.
	Version uint64
	// Self is this host.
	Self Member
	// Joined is true once a peer has replied to a sync, or none could be found.
	Joined bool
	// Resuming is true after a pause, until a peer has replied to a sync.
	Resuming bool
	// Members holds all known members and this host, sorted by address.
	Members []Member
	// UnknownHosts holds the hosts that the platform's list shows as live and that
	// are not known as members, sorted by address. While a fleet starts, some hosts
	// learn of others only seconds after they are ready themselves.
	UnknownHosts []netip.AddrPort
}

// Find returns the member at address, or nil.
func (s *Snapshot) Find(address netip.AddrPort) *Member {
	at, found := slices.BinarySearchFunc(s.Members, address, func(m Member, a netip.AddrPort) int {
		return m.Address.Compare(a)
	})
	if !found {
		return nil
	}
	return &s.Members[at]
}

// Count returns how many members are usable, this host included.
func (s *Snapshot) Count() int {
	n := 0
	for i := range s.Members {
		if s.Members[i].Usable() {
			n++
		}
	}
	return n
}

// Snapshot returns the current view. It is rebuilt only after a change; changes
// of metadata only become visible once per period.
func (c *Core) Snapshot() *Snapshot {
	if !c.dirty && c.snapshot != nil {
		return c.snapshot
	}
	var version uint64 = 1
	if c.snapshot != nil {
		version = c.snapshot.Version + 1
	}
	self := Member{c.self, c.hosts.listed[c.self.Address] && c.hosts.selfLive}
	members := make([]Member, 0, len(c.order)+1)
	members = append(members, self)
	for _, r := range c.order {
		members = append(members, Member{r.entry, r.listLeaving})
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	c.dirty = false
	c.snapshot = &Snapshot{
		Version:      version,
		Self:         self,
		Joined:       c.hosts.joined,
		Resuming:     c.resume.resuming,
		Members:      members,
		UnknownHosts: c.unheard(),
	}
	return c.snapshot
}

// unheard returns the listed hosts that are not leaving and not known as members.
func (c *Core) unheard() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range c.hosts.others {
		if c.records[a] == nil && !c.hosts.listed[a] {
			out = append(out, a)
		}
	}
	return out
}

package storesync

import (
	"net/netip"
	"slices"
	"time"
)

// Updates spread within a failure domain along trees in which each host forwards to a few
// others, so that the number of messages sent by one host does not grow with the fleet. Any
// host can be the root of a tree; the positions of the others follow from the order of the
// hosts, which is nearly the same on all of them. Each root has two trees, which run through
// that order in opposite directions, so that a host missing from one of them does not cut off
// the others. A host that receives an update along neither tree fetches it.

// fanOut is the number of hosts to which each host forwards an update: 580 hosts of one failure
// domain take three levels.
const fanOut = 8

// Tree identifies the tree along which an update spreads in a failure domain. The zero value
// marks an update from another failure domain, before it enters a tree.
type Tree struct {
	// Root is the host that started to forward the update.
	Root netip.AddrPort `json:",omitzero"`
	// Mirrored distinguishes the two trees of a root.
	Mirrored bool `json:",omitempty"`
}

// Route is the next hop of an update.
type Route struct {
	// Tree is sent with the update.
	Tree Tree
	// To are the receiving hosts.
	To []netip.AddrPort
}

// treesPerRoot is the number of trees of each root.
const treesPerRoot = 2

func (t Tree) index() int {
	if t.Mirrored {
		return 1
	}
	return 0
}

// children returns the hosts to which this host forwards updates of a tree.
func (r *ranks) children(t Tree) []netip.AddrPort {
	n := len(r.domainPeers) + 1
	root, known := r.positionOf(t.Root)
	if !known {
		return nil
	}
	step := 1
	if t.Mirrored {
		step = -1
	}
	own := ((r.position-root)*step%n + n) % n
	var out []netip.AddrPort
	for child := own*fanOut + 1; child <= own*fanOut+fanOut && child < n; child++ {
		out = append(out, r.peerAt(((root+child*step)%n+n)%n))
	}
	return out
}

// positionOf returns a host's position in the failure domain.
func (r *ranks) positionOf(a netip.AddrPort) (int, bool) {
	if a == r.self.Address {
		return r.position, true
	}
	at := slices.Index(r.domainPeers, a)
	if at < 0 {
		return 0, false
	}
	if at >= r.position {
		at++
	}
	return at, true
}

// peerAt returns the host at a position of the failure domain other than this host's own.
func (r *ranks) peerAt(position int) netip.AddrPort {
	if position > r.position {
		position--
	}
	return r.domainPeers[position]
}

// route returns the route of an update on a tree, and false if this host is a leaf of it.
func (r *ranks) route(t Tree) (Route, bool) {
	to := r.children(t)
	return Route{Tree: t, To: to}, len(to) > 0
}

// broadcastRoutes returns the routes of an update that starts at this host: to the contacts of
// the other failure domains, which forward it there, and along both trees of its own domain.
func (r *ranks) broadcastRoutes() []Route {
	var out []Route
	if len(r.domainContacts) > 0 {
		out = append(out, Route{To: r.domainContacts})
	}
	for _, mirrored := range []bool{false, true} {
		if route, ok := r.route(Tree{Root: r.self.Address, Mirrored: mirrored}); ok {
			out = append(out, route)
		}
	}
	return out
}

// entryTree returns the tree along which this host forwards updates from other failure
// domains: the first and the last host of a domain are the root of one tree each.
func (r *ranks) entryTree() (Tree, bool) {
	return Tree{Root: r.self.Address, Mirrored: r.position > 0}, r.position == 0 || r.last
}

// forward is the state of forwarding along one of the two trees.
type forward struct {
	tree          Tree
	due           bool // an update arrived that was not forwarded yet
	revision      uint64
	asOf          time.Time
	effectiveAsOf time.Time
}

// arrived records that an update came along a tree, or from another failure domain.
func (c *Core) arrived(from Host, t Tree) {
	if from.FailureDomain != c.ranks.self.FailureDomain {
		entry, ok := c.ranks.entryTree()
		if !ok {
			return
		}
		t = entry
	}
	if t.Root.IsValid() {
		p := &c.forwards[t.index()]
		p.tree, p.due = t, true
	}
}

// forwardUpdates forwards received updates once this host has their changes: the receivers
// fetch from it what the message does not carry.
func (c *Core) forwardUpdates() {
	if c.behind() {
		return
	}
	for i := range c.forwards {
		p := &c.forwards[i]
		if !p.due {
			continue
		}
		p.due = false
		newer := c.revision > p.revision || c.asOf.After(p.asOf.Add(c.share(minForwardGain)))
		confirmed := c.effectiveAsOf().After(later(p.effectiveAsOf, c.asOf).Add(c.share(minForwardGain)))
		if !newer && !confirmed {
			continue
		}
		p.revision, p.asOf, p.effectiveAsOf = c.revision, c.asOf, c.effectiveAsOf()
		route, ok := c.ranks.route(p.tree)
		switch {
		case !ok:
		case newer:
			c.out.SendUpdate = append(c.out.SendUpdate, route)
		default:
			c.out.SendOutageUpdate = append(c.out.SendOutageUpdate, route)
		}
	}
}

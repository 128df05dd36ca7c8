package storesync

import (
	"net/netip"
	"slices"
	"time"
)

// News crosses a failure domain along trees in which each host passes on to a few: what one
// host sends does not grow with the fleet. Any host can be the root of a tree; which place
// another one has in it follows from the hosts' order, which all see nearly alike. There are
// two trees for each root, in opposite directions, so that a host that is gone in one of them
// keeps nothing from the others. A host that is missed by both asks.

// fanOut is how many hosts each one passes news on to: three levels for 580 hosts of one
// failure domain.
const fanOut = 8

// Tree is the way of a piece of news through a failure domain. The zero value is news from
// another domain, which goes no further yet.
type Tree struct {
	// Root is the host that began to pass it on.
	Root netip.AddrPort `json:",omitzero"`
	// Mirrored tells the two trees of a root apart.
	Mirrored bool `json:",omitempty"`
}

// Route is news on its way to the next hosts.
type Route struct {
	// Tree goes with the news.
	Tree Tree
	// To are the hosts.
	To []netip.AddrPort
}

// trees is the number of trees of each root.
const trees = 2

func (t Tree) index() int {
	if t.Mirrored {
		return 1
	}
	return 0
}

// next returns the hosts that this one passes news of a tree on to.
func (r *ranks) next(t Tree) []netip.AddrPort {
	n := len(r.domain) + 1
	root, known := r.placeOf(t.Root)
	if !known {
		return nil
	}
	step := 1
	if t.Mirrored {
		step = -1
	}
	own := ((r.place-root)*step%n + n) % n
	var out []netip.AddrPort
	for child := own*fanOut + 1; child <= own*fanOut+fanOut && child < n; child++ {
		out = append(out, r.at(((root+child*step)%n+n)%n))
	}
	return out
}

// placeOf returns a host's place in the failure domain.
func (r *ranks) placeOf(a netip.AddrPort) (int, bool) {
	if a == r.self.Address {
		return r.place, true
	}
	at := slices.Index(r.domain, a)
	if at < 0 {
		return 0, false
	}
	if at >= r.place {
		at++
	}
	return at, true
}

// at returns the host at a place of the failure domain, which is not this one's.
func (r *ranks) at(place int) netip.AddrPort {
	if place > r.place {
		place--
	}
	return r.domain[place]
}

// route returns the way of news on a tree; false if it ends here.
func (r *ranks) route(t Tree) (Route, bool) {
	to := r.next(t)
	return Route{Tree: t, To: to}, len(to) > 0
}

// everyone returns the ways of news that begins here: the first hosts of the other failure
// domains, whose others wait for them, and both trees of the own domain.
func (r *ranks) everyone() []Route {
	var out []Route
	if len(r.heads) > 0 {
		out = append(out, Route{To: r.heads})
	}
	for _, mirrored := range []bool{false, true} {
		if way, ok := r.route(Tree{Root: r.self.Address, Mirrored: mirrored}); ok {
			out = append(out, way)
		}
	}
	return out
}

// enters returns the tree on which this host passes on what another failure domain told it:
// its first and its last host begin one tree each.
func (r *ranks) enters() (Tree, bool) {
	return Tree{Root: r.self.Address, Mirrored: r.place > 0}, r.place == 0 || r.last
}

// passing is what was last passed on along one of the two trees.
type passing struct {
	tree     Tree
	due      bool // news has come that was not passed on
	revision uint64
	fresh    time.Time
	excused  time.Time
}

// arrived takes in that news came along a tree, or from another failure domain.
func (c *Core) arrived(from Host, t Tree) {
	if from.FailureDomain != c.ranks.self.FailureDomain {
		entered, ok := c.ranks.enters()
		if !ok {
			return
		}
		t = entered
	}
	if t.Root.IsValid() {
		p := &c.passing[t.index()]
		p.tree, p.due = t, true
	}
}

// passOnNews passes on what came, once this host knows it: those that are told ask it for
// what the message does not carry.
func (c *Core) passOnNews() {
	if c.awaits() {
		return
	}
	for i := range c.passing {
		p := &c.passing[i]
		if !p.due {
			continue
		}
		p.due = false
		newer := c.revision > p.revision || c.fresh.After(p.fresh.Add(c.share(passOn)))
		spared := c.excused().After(later(p.excused, c.fresh).Add(c.share(passOn)))
		if !newer && !spared {
			continue
		}
		p.revision, p.fresh, p.excused = c.revision, c.fresh, c.excused()
		way, ok := c.ranks.route(p.tree)
		switch {
		case !ok:
		case newer:
			c.out.SendUpdate = append(c.out.SendUpdate, way)
		default:
			c.out.SendOutageUpdate = append(c.out.SendOutageUpdate, way)
		}
	}
}

package configsync

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// answer is how far a starting host has got with one peer.
type answer uint8

const (
	unasked answer = iota
	asked
	failed
	coveredStarting // holds all that a peer which does not serve has
	coveredReady    // holds all that a peer which serves has
)

// bootstrap brings a starting host to where it may serve. It asks peers of
// every failure domain in turn: the first alone, which sends the whole state,
// then all others at once, which send what differs.
type bootstrap struct {
	done   bool
	listed bool
	order  []Member
	status map[string]answer
	due    map[string]time.Time
}

// list takes a new list of members; answers already had are kept.
func (b *bootstrap) list(now time.Time, n *Node) {
	b.listed = true
	if b.done {
		return
	}
	b.order = spread(n.opt, n.members)
	b.order = b.order[:min(len(b.order), n.opt.StartPeers)]
	if b.status == nil {
		b.status = make(map[string]answer)
		b.due = make(map[string]time.Time)
	}
	b.step(now, n)
}

// step asks the peers that are due and decides whether the host may serve.
func (b *bootstrap) step(now time.Time, n *Node) {
	if b.done {
		return
	}
	for _, m := range b.order {
		if b.covered(m.Address) {
			continue
		}
		if now.After(b.due[m.Address]) {
			b.ask(now, n, m.Address)
		}
		if !b.anyCovered() && b.status[m.Address] == asked {
			break
		}
	}
	b.decide(now, n)
}

// ask sends a comparison. A peer that was asked before counts as failed until
// it answers; the host then goes on to the next.
func (b *bootstrap) ask(now time.Time, n *Node, to string) {
	if b.status[to] == unasked {
		b.status[to] = asked
	} else {
		b.status[to] = failed
	}
	b.due[to] = now.Add(n.opt.PeerTimeout)
	n.send(to, n.summary(now, true))
}

// cover notes that this host now holds all that a peer has.
func (b *bootstrap) cover(now time.Time, n *Node, from string, ready bool) {
	if b.done || b.status == nil {
		return
	}
	first := !b.anyCovered()
	b.status[from] = coveredStarting
	if ready {
		b.status[from] = coveredReady
	}
	if first {
		b.step(now, n)
		return
	}
	b.decide(now, n)
}

// PeerFailed says that a peer could not be reached. A starting host then does
// not wait for it.
func (n *Node) PeerFailed(now time.Time, address string) Effects {
	n.begin(now)
	if !n.start.done && n.start.status[address] == asked {
		n.start.status[address] = failed
		n.start.step(now, n)
	}
	return n.take()
}

func (b *bootstrap) covered(address string) bool {
	return b.status[address] >= coveredStarting
}

func (b *bootstrap) anyCovered() bool {
	for _, s := range b.status {
		if s >= coveredStarting {
			return true
		}
	}
	return false
}

func (b *bootstrap) decide(now time.Time, n *Node) {
	if b.done || n.confirmed.IsZero() {
		return
	}
	switch {
	case b.listed && b.all(b.covered):
		b.finish(n, event.ConfigReady, "every listed peer answered")
	case b.listed && b.resolved() && b.enough(n.members):
		b.finish(n, event.ConfigReady, "peers that serve answered")
	case n.opt.SoloStartTimeout >= 0 && now.Sub(n.started) >= n.opt.SoloStartTimeout:
		b.finish(n, event.ConfigUnconfirmed, "listed peers did not answer")
	}
}

func (b *bootstrap) all(is func(string) bool) bool {
	return !slices.ContainsFunc(b.order, func(m Member) bool { return !is(m.Address) })
}

// resolved is true when each peer that was to be asked answered or failed.
func (b *bootstrap) resolved() bool {
	return b.all(func(a string) bool { return b.status[a] >= failed })
}

// enough is true when peers that serve answered from two failure domains, or
// from one if no more are listed.
func (b *bootstrap) enough(members []Member) bool {
	listed := make(map[string]bool)
	ready := make(map[string]bool)
	for _, m := range members {
		listed[m.FailureDomain] = true
		if b.status[m.Address] == coveredReady {
			ready[m.FailureDomain] = true
		}
	}
	return len(ready) > 0 && len(ready) >= min(2, len(listed))
}

func (b *bootstrap) finish(n *Node, code event.Code, reason string) {
	b.done = true
	b.order, b.status, b.due = nil, nil, nil
	n.event(event.Event{Code: code, Reason: reason, Value: int64(n.state.Frontier())})
	n.out.InForce = true
}

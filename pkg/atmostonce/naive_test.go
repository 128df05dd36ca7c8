package atmostonce_test

import (
	"hash/fnv"
	"strconv"
	"testing"
)

// naiveKind selects one of the ways that do not keep actions single.
type naiveKind uint8

const (
	resendOnTimeout naiveKind = iota
	homeByHash
	cachePerHost
)

var naiveNames = [...]string{"resend on time-out", "home by hash", "key cache per host"}

// naive is a protocol that must fail.
type naive struct {
	kind naiveKind
	next int
}

func (p *naive) start(f *fleet, host int) member {
	return &naiveMember{kind: p.kind, fleet: f, host: host, seen: make(map[int]bool)}
}

func (p *naive) key(*fleet, int) (string, bool) {
	p.next++
	return strconv.Itoa(p.next), true
}

type naiveMember struct {
	kind    naiveKind
	fleet   *fleet
	host    int
	seen    map[int]bool
	pending []message
}

func (n *naiveMember) receive(m message) {
	switch m.kind {
	case askMessage, forwardMessage:
		n.ask(m)
	case ranMessage:
		n.forget(m.action)
		n.fleet.answer(m.action, answeredRan)
	case refusedMessage:
		n.run(m)
	}
}

func (n *naiveMember) ask(m message) {
	if n.kind == homeByHash && m.kind == askMessage {
		if home := n.home(m.key); home != n.host {
			n.fleet.post(message{kind: forwardMessage, from: n.host, to: home, key: m.key, action: m.action})
			return
		}
	}
	if n.seen[m.action] {
		return
	}
	n.seen[m.action] = true
	n.run(m)
}

// home hashes the key over the members that this host sees in its part.
func (n *naiveMember) home(key string) int {
	var members []int
	for i := range n.fleet.hosts {
		if n.fleet.hosts[i].part == n.fleet.hosts[n.host].part {
			members = append(members, i)
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return members[int(h.Sum32())%len(members)]
}

func (n *naiveMember) run(m message) {
	n.forget(m.action)
	n.pending = append(n.pending, m)
	n.fleet.post(message{kind: runMessage, from: n.host, key: m.key, action: m.action})
}

func (n *naiveMember) forget(action int) {
	for i, p := range n.pending {
		if p.action == action {
			n.pending = append(n.pending[:i], n.pending[i+1:]...)
			return
		}
	}
}

func (n *naiveMember) send(int)     {}
func (n *naiveMember) handOver(int) {}

// timeout ends one wait for an upstream.
func (n *naiveMember) timeout(pick int) {
	if len(n.pending) == 0 {
		return
	}
	m := n.pending[pick%len(n.pending)]
	if n.kind == resendOnTimeout {
		n.run(m)
		return
	}
	n.forget(m.action)
	n.fleet.answer(m.action, answeredUnknown)
}

// TestNaiveFails shows that the schedules find the faults of the naive ways.
func TestNaiveFails(t *testing.T) {
	schedules := scheduleGenerator(weights)
	for kind, name := range naiveNames {
		count := &tally{}
		for seed := range runs(t) {
			run(&naive{kind: naiveKind(kind)}, schedules.Example(seed+1), count)
		}
		t.Logf("%s: %d of %d runs broke single execution; %s", name, count.breached, count.runs, count)
		if count.breached == 0 {
			t.Errorf("%s was not caught", name)
		}
	}
}

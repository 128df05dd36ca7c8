package atmostonce_test

import (
	"hash/fnv"
	"strconv"
	"testing"
)

// naiveKind selects a protocol that does not guarantee at-most-once execution.
type naiveKind uint8

const (
	resendOnTimeout naiveKind = iota
	ownerByHash
	cachePerHost
)

var naiveNames = [...]string{"resend on time-out", "owner by hash", "key cache per host"}

// naive is a protocol that must violate at-most-once execution.
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
	case requestMessage, forwardMessage:
		n.request(m)
	case ranMessage:
		n.forget(m.action)
		n.fleet.reportOutcome(m.action, outcomeRan)
	case refusedMessage:
		n.run(m)
	}
}

func (n *naiveMember) request(m message) {
	if n.kind == ownerByHash && m.kind == requestMessage {
		if owner := n.ownerOf(m.key); owner != n.host {
			n.fleet.enqueue(message{kind: forwardMessage, from: n.host, to: owner, key: m.key, action: m.action})
			return
		}
	}
	if n.seen[m.action] {
		return
	}
	n.seen[m.action] = true
	n.run(m)
}

// ownerOf hashes the key over the members that this host sees in its partition.
func (n *naiveMember) ownerOf(key string) int {
	var members []int
	for i := range n.fleet.hosts {
		if n.fleet.hosts[i].partition == n.fleet.hosts[n.host].partition {
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
	n.fleet.enqueue(message{kind: runMessage, from: n.host, key: m.key, action: m.action})
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

// timeout ends the wait for one response of an upstream.
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
	n.fleet.reportOutcome(m.action, outcomeUnknown)
}

// TestNaiveFails verifies that the schedules detect the faults of naive protocols, so
// that the success of TestSchedules is meaningful.
func TestNaiveFails(t *testing.T) {
	schedules := scheduleGenerator(weights)
	for kind, name := range naiveNames {
		count := &counters{}
		for seed := range runs(t) {
			run(&naive{kind: naiveKind(kind)}, schedules.Example(seed+1), count)
		}
		t.Logf("%s: %d of %d runs violated at-most-once execution; %s", name, count.violations, count.runs, count)
		if count.violations == 0 {
			t.Errorf("%s was not caught", name)
		}
	}
}

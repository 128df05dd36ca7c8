package atmostonce_test

import (
	"math/rand/v2"
	"time"
)

// The simulated fleet is an in-memory message queue between members that run the
// real ledgers or a naive protocol. A schedule of steps alone determines what
// happens.

const (
	fleetHosts = 13
	stepTime   = 250 * time.Millisecond
)

type outcome uint8

const (
	outcomeRan outcome = iota
	outcomeNotRun
	outcomeUnknown
	numOutcomes
)

type messageKind uint8

const (
	requestMessage messageKind = iota // caller to host
	forwardMessage                    // host to host
	replyMessage                      // issuer to forwarder
	runMessage                        // host to upstream
	ranMessage                        // upstream to host
	refusedMessage                    // upstream to host: refused before running
	adoptMessage                      // host that is shutting down to its successor
)

// message is one message on the queue. The epoch prevents a reply from reaching a
// later process at the same address, as a TCP connection would.
type message struct {
	kind     messageKind
	from, to int
	epoch    int
	key      string
	action   int
	forward  int
	result   outcome
	handOver *handOver
}

// action is a non-repeatable action of a caller, identified by its key.
type action struct {
	key            string
	runs           int
	reportedNotRun bool
}

// member is one process that runs a protocol.
type member interface {
	receive(m message)
	timeout(pick int)
	send(pick int)
	handOver(to int)
}

// protocol creates members and the keys that callers use.
type protocol interface {
	start(f *fleet, host int) member
	key(f *fleet, host int) (string, bool)
}

type process struct {
	member    member
	epoch     int
	paused    bool
	partition int
	offset    time.Duration
	rate      time.Duration
}

type fleet struct {
	protocol        protocol
	now             time.Duration
	hosts           [fleetHosts]process
	queue           []message
	actions         []*action
	random          *rand.Rand
	violation       string
	waitForDeadline bool
	count           *counters
}

// counters counts events over all runs of one protocol.
type counters struct {
	runs, steps, violations int
	faults                  [numOps]int
	outcomes                [numOutcomes]int
	executed                int
}

func newFleet(p protocol, count *counters) *fleet {
	f := &fleet{protocol: p, count: count, random: rand.New(rand.NewPCG(1, 2))}
	for i := range f.hosts {
		f.hosts[i].offset = time.Duration(f.random.IntN(1000)) * time.Hour
		f.hosts[i].rate = time.Duration(1 + f.random.IntN(3))
		f.hosts[i].member = p.start(f, i)
	}
	return f
}

// clock returns the host's monotonic time. Each host's clock has its own offset and
// rate.
func (f *fleet) clock(host int) time.Time {
	h := &f.hosts[host]
	return time.Time{}.Add(h.offset + f.now*h.rate)
}

func (f *fleet) enqueue(m message) {
	if m.kind == runMessage || m.kind == forwardMessage {
		m.epoch = f.hosts[m.from].epoch
	}
	f.queue = append(f.queue, m)
}

func (f *fleet) reportOutcome(a int, o outcome) {
	f.count.outcomes[o]++
	act := f.actions[a]
	if o != outcomeNotRun {
		return
	}
	act.reportedNotRun = true
	if act.runs > 0 {
		f.violation = "reported not-run after it ran"
	}
}

func (f *fleet) execute(m message) {
	act := f.actions[m.action]
	act.runs++
	f.count.executed++
	switch {
	case act.runs > 1:
		f.violation = "ran twice"
	case act.reportedNotRun:
		f.violation = "ran after not-run was reported"
	}
	f.queue = append(f.queue, message{kind: ranMessage, from: m.to, to: m.from, epoch: m.epoch, key: m.key, action: m.action})
}

// deliver delivers message i, unless its receiver is paused or partitioned; then
// the message stays in the queue and arrives later.
func (f *fleet) deliver(i int, refuse bool) {
	m := f.queue[i]
	if m.kind == runMessage {
		f.remove(i)
		f.atUpstream(m, refuse)
		return
	}
	to := &f.hosts[m.to]
	if to.paused || f.partitioned(m) {
		return
	}
	f.remove(i)
	isReply := m.kind == ranMessage || m.kind == refusedMessage || m.kind == replyMessage
	if isReply && m.epoch != to.epoch {
		return
	}
	to.member.receive(m)
}

func (f *fleet) atUpstream(m message, refuse bool) {
	if refuse {
		f.queue = append(f.queue, message{kind: refusedMessage, from: m.to, to: m.from, epoch: m.epoch, key: m.key, action: m.action})
		return
	}
	f.execute(m)
}

func (f *fleet) partitioned(m message) bool {
	between := m.kind == forwardMessage || m.kind == replyMessage || m.kind == adoptMessage
	return between && f.hosts[m.from].partition != f.hosts[m.to].partition
}

func (f *fleet) remove(i int) {
	f.queue[i] = f.queue[len(f.queue)-1]
	f.queue = f.queue[:len(f.queue)-1]
}

func (f *fleet) restart(host int) {
	h := &f.hosts[host]
	h.epoch++
	h.paused = false
	h.offset = time.Duration(f.random.IntN(1000)) * time.Hour
	h.member = f.protocol.start(f, host)
}

package atmostonce_test

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// op is a kind of step.
type op uint8

const (
	opDeliver op = iota
	opSend
	opRequest
	opRepeat
	opReorder
	opRefuse
	opAdvance
	opTimeout
	opKill
	opPause
	opWake
	opPartition
	opHeal
	opDrop
	opDuplicate
	opHandOver
	numOps
)

// opNames are the names of the steps in logs and in TestStateMachine. rapid sorts its
// actions by name, so the schedule of a seed depends on them.
var opNames = [numOps]string{
	"deliver", "send", "ask", "askAgain", "late", "refuse", "advance", "timeout",
	"kill", "pause", "wake", "split", "heal", "lose", "duplicate", "handOver",
}

// String returns the number of steps, in total and of each kind.
func (c *counters) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d steps", c.steps)
	for o, n := range c.faults {
		fmt.Fprintf(&b, ", %s %d", opNames[o], n)
	}
	return b.String()
}

// weights holds the relative frequency of each kind of step: ordinary progress is
// more frequent than faults.
var weights = [numOps]int{24, 12, 6, 6, 4, 1, 4, 3, 1, 1, 2, 1, 1, 1, 2, 1}

// weightsWithFault returns weights that contain a single kind of fault, or none if only
// is numOps.
func weightsWithFault(only op) [numOps]int {
	w := weights
	for o := opKill; o < numOps; o++ {
		if o != only {
			w[o] = 0
		}
	}
	switch only {
	case opPause:
		w[opWake] = weights[opWake]
	case opPartition:
		w[opHeal] = weights[opHeal]
	}
	return w
}

// step is one step of a schedule; a and b select among the hosts, messages or
// actions that exist when it is applied.
type step struct {
	op   op
	a, b int
}

const scheduleSteps = 300

func stepGenerator(weights [numOps]int) *rapid.Generator[step] {
	var ops []op
	for o, w := range weights {
		for range w {
			ops = append(ops, op(o))
		}
	}
	choice := rapid.SampledFrom(ops)
	number := rapid.IntRange(0, 1<<16)
	return rapid.Custom(func(t *rapid.T) step {
		return step{op: choice.Draw(t, "op"), a: number.Draw(t, "a"), b: number.Draw(t, "b")}
	})
}

func scheduleGenerator(weights [numOps]int) *rapid.Generator[[]step] {
	return rapid.SliceOfN(stepGenerator(weights), scheduleSteps, scheduleSteps)
}

// run applies a schedule and returns the violation found, or "".
func run(p protocol, schedule []step, count *counters) string {
	return newFleet(p, count).run(schedule)
}

func (f *fleet) run(schedule []step) string {
	count := f.count
	count.runs++
	for _, s := range schedule {
		f.apply(s)
		if f.violation != "" {
			count.violations++
			break
		}
	}
	return f.violation
}

func (f *fleet) apply(s step) {
	f.count.steps++
	f.count.faults[s.op]++
	host := s.a % fleetHosts
	h := &f.hosts[host]
	switch s.op {
	case opRequest:
		f.newRequest(host, s.b%fleetHosts)
	case opRepeat:
		f.repeatRequest(s.a, s.b%fleetHosts)
	case opDeliver, opRefuse, opReorder, opDrop, opDuplicate:
		f.applyToMessage(s)
	case opSend, opTimeout, opHandOver:
		f.applyToMember(s, h)
	case opAdvance:
		f.now += stepTime
	case opKill:
		f.restart(host)
	case opPause:
		h.paused = true
	case opWake:
		h.paused = false
	case opPartition:
		h.partition = 1
	case opHeal:
		f.heal()
	}
}

func (f *fleet) applyToMember(s step, h *process) {
	if h.paused {
		return
	}
	switch s.op {
	case opSend:
		h.member.send(s.b)
	case opTimeout:
		h.member.timeout(s.b)
	default:
		h.member.handOver(s.b % fleetHosts)
	}
}

// applyToMessage acts on one of the oldest messages, or on any message if the step
// is opReorder.
func (f *fleet) applyToMessage(s step) {
	if len(f.queue) == 0 {
		return
	}
	i := s.a % min(len(f.queue), 4)
	if s.op == opReorder {
		i = s.a % len(f.queue)
	}
	switch s.op {
	case opDuplicate:
		f.duplicate(f.queue[i])
	case opDrop:
		f.remove(i)
	default:
		f.deliver(i, s.op == opRefuse)
	}
}

// duplicate copies a message between entry hosts or from a caller. Messages to and
// from an upstream share one TCP connection, which does not duplicate them.
func (f *fleet) duplicate(m message) {
	switch m.kind {
	case requestMessage, forwardMessage, replyMessage, adoptMessage:
		f.queue = append(f.queue, m)
	}
}

func (f *fleet) heal() {
	for i := range f.hosts {
		f.hosts[i].partition = 0
	}
}

func (f *fleet) newRequest(issuer, through int) {
	if f.hosts[issuer].paused {
		return
	}
	key, ok := f.protocol.key(f, issuer)
	if !ok {
		return
	}
	f.actions = append(f.actions, &action{key: key})
	f.enqueue(message{kind: requestMessage, to: through, key: key, action: len(f.actions) - 1})
}

func (f *fleet) repeatRequest(pick, through int) {
	if len(f.actions) == 0 {
		return
	}
	recent := max(0, len(f.actions)-8)
	a := recent + pick%(len(f.actions)-recent)
	f.enqueue(message{kind: requestMessage, to: through, key: f.actions[a].key, action: a})
}

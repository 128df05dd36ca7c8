package configsync

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Outgoing is a message for a peer.
type Outgoing struct {
	// To is the peer's address.
	To string
	// Message is what to send.
	Message Message
}

// Read is a call of the platform that the caller makes. Its outcome goes to
// PlatformAnswered or PlatformFailed.
type Read struct {
	// After is the revision after which changes are asked for.
	After uint64
	// Wait is how long the platform may wait for one; 0 for a plain read.
	Wait time.Duration
}

// Effects are what the caller has to do after an event.
type Effects struct {
	// Send are messages. Delivery is not guaranteed.
	Send []Outgoing
	// Read is a call of the platform, or nil. There is one at a time.
	Read *Read
	// Events are decisions, without time and host.
	Events []event.Event
	// InForce is true when the documents in force or Ready have changed.
	InForce bool
}

// Answer is what the platform said.
type Answer struct {
	// Revision is the platform's newest revision.
	Revision uint64
	// Versions are the newest versions of the keys changed after Read.After.
	Versions []Version
}

// Node is the configuration part of one entry host in one incarnation.
type Node struct {
	opt        Options
	state      *State
	out        Effects
	last       time.Time
	started    time.Time
	members    []Member
	listed     []Member
	neighbours neighbours
	reader     bool
	start      bootstrap
	wakeUntil  time.Time
	nextSync   time.Time
	read       readState
	confirmed  time.Time
}

// NewNode returns the node of a host that starts at now. It knows nothing and
// is not ready.
func NewNode(now time.Time, opt Options) *Node {
	n := &Node{opt: opt.withDefaults(), state: NewState(), last: now, started: now}
	n.nextSync = now.Add(n.jitter(n.opt.SyncInterval))
	return n
}

// Ready reports whether the host may serve: it has heard enough to know that
// what it has in force is no older than what its peers have.
func (n *Node) Ready() bool { return n.start.done }

// CatchingUp reports whether the host woke from a pause and has not yet heard
// from a peer. It must not act on its configuration for long-lived decisions.
func (n *Node) CatchingUp() bool { return !n.wakeUntil.IsZero() }

// InForce returns the documents in force, ordered by name.
func (n *Node) InForce() []Document { return n.state.InForce() }

// State returns the state, for reading.
func (n *Node) State() *State { return n.state }

// Watermark returns what the host publishes about itself.
func (n *Node) Watermark() Watermark {
	return Watermark{Frontier: n.state.Frontier(), Digest: n.state.Digest(), Ready: n.Ready()}
}

// SetMembers takes the present list of entry hosts. It may contain this host.
// Until the first call a host is no reader and waits, unless
// Options.SoloStartTimeout passes.
func (n *Node) SetMembers(now time.Time, members []Member) Effects {
	n.begin(now)
	if !n.start.listed || !slices.Equal(members, n.listed) {
		n.listed = slices.Clone(members)
		n.members = others(members, n.opt.Self.Address)
		n.neighbours = chooseNeighbours(n.opt, n.members)
		n.reader = isReader(n.opt, n.members)
		n.start.list(now, n)
	}
	n.stepRead(now)
	return n.take()
}

// Tick lets time pass. It is to be called several times a second.
func (n *Node) Tick(now time.Time) Effects {
	n.begin(now)
	n.start.step(now, n)
	n.stepWake(now)
	n.stepSync(now)
	n.stepRead(now)
	return n.take()
}

// Wake says that the process may have been paused. Tick finds out by itself;
// a caller that knows earlier may say so.
func (n *Node) Wake(now time.Time) Effects {
	n.last = now
	n.wake(now)
	return n.take()
}

// begin notices a pause before anything else is done.
func (n *Node) begin(now time.Time) {
	silence := now.Sub(n.last)
	n.last = now
	if silence > n.opt.PauseThreshold {
		n.wake(now)
	}
}

func (n *Node) wake(now time.Time) {
	if !n.Ready() || len(n.members) == 0 {
		return
	}
	n.wakeUntil = now.Add(n.opt.WakeTimeout)
	n.event(event.Event{Code: event.ConfigLearning, Reason: "woke from a pause"})
	n.out.InForce = true
	for _, to := range n.neighbours.pick(n.opt.Rand, n.opt.FanOutInside, n.opt.FanOutOutside) {
		n.send(to, n.summary(now, true))
	}
}

func (n *Node) stepWake(now time.Time) {
	if n.CatchingUp() && now.After(n.wakeUntil) {
		n.learned("no peer answered in time")
	}
}

func (n *Node) learned(reason string) {
	n.wakeUntil = time.Time{}
	n.event(event.Event{Code: event.ConfigLearned, Reason: reason, Value: int64(n.state.Frontier())})
	n.out.InForce = true
}

// stepSync compares the state with one random neighbour now and then.
func (n *Node) stepSync(now time.Time) {
	if now.Before(n.nextSync) {
		return
	}
	n.nextSync = now.Add(n.jitter(n.opt.SyncInterval))
	if to, ok := n.neighbours.one(n.opt.Rand); ok {
		n.send(to, n.summary(now, true))
	}
}

func (n *Node) summary(now time.Time, reply bool) Summary {
	m := Summary{
		Frontier: n.state.Frontier(),
		Digest:   n.state.Digest(),
		Ready:    n.Ready(),
		Reply:    reply,
		Informed: !n.confirmed.IsZero(),
	}
	if m.Informed {
		m.Age = max(now.Sub(n.confirmed), 0)
	}
	return m
}

// jitter returns a random time around d, between half and one and a half of it.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.opt.Rand.Int64N(int64(d)))
}

func (n *Node) send(to string, m Message) {
	n.out.Send = append(n.out.Send, Outgoing{to, m})
}

func (n *Node) event(e event.Event) {
	n.out.Events = append(n.out.Events, e)
}

func (n *Node) take() Effects {
	out := n.out
	n.out = Effects{}
	return out
}

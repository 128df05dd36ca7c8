package configsync

import (
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Outgoing is a message to send to a peer.
type Outgoing struct {
	// To is the peer's address.
	To      string
	Message Message
}

// Read is a call of the platform for the embedder to make. Its outcome is passed
// to Node.ReadDone or Node.ReadFailed.
type Read struct {
	// After is the revision after which changes are requested.
	After uint64
	// Wait is how long the platform may wait for a change; 0 for a plain read.
	Wait time.Duration
}

// Effects are the actions that the embedder must carry out after a call of a Node.
type Effects struct {
	// Send are the messages to send. Delivery need not be reliable.
	Send []Outgoing
	// Read is a call of the platform to make, or nil. At most one is pending.
	Read *Read
	// Events are the events to emit, without time and host.
	Events []event.Event
	// InForce is true when the current documents, Ready or CatchingUp changed.
	InForce bool
}

// ReadResult is the platform's response to a Read.
type ReadResult struct {
	// Revision is the platform's newest revision.
	Revision uint64
	// Versions are the newest versions of the keys changed after Read.After.
	Versions []Version
}

// Node replicates the configuration on one incarnation of an entry host.
type Node struct {
	opt            Options
	state          *State
	out            Effects
	lastCall       time.Time
	started        time.Time
	members        []Member
	memberList     []Member
	neighbours     neighbours
	reader         bool
	bootstrap      bootstrap
	resumeDeadline time.Time
	nextSync       time.Time
	read           readState
	confirmedAt    time.Time
}

// NewNode returns the node of a host that starts at now. Its state is empty, and
// it is not ready.
func NewNode(now time.Time, opt Options) *Node {
	n := &Node{opt: opt.withDefaults(), state: NewState(), lastCall: now, started: now}
	n.nextSync = now.Add(n.jitter(n.opt.SyncInterval))
	return n
}

// Ready reports whether the host may serve. It is ready once it has compared its
// state with enough peers to know that its current documents are not older than
// theirs, or after Options.SoloStartTimeout. Either way its state must include a
// response of the platform.
func (n *Node) Ready() bool { return n.bootstrap.done }

// CatchingUp reports whether the host resumed after a pause and has not yet
// confirmed its state with a peer. Meanwhile its configuration may be old and
// must not be used for long-lived decisions.
func (n *Node) CatchingUp() bool { return !n.resumeDeadline.IsZero() }

// InForce returns the current documents, ordered by name.
func (n *Node) InForce() []Document { return n.state.InForce() }

// State returns the state, which the caller must not modify.
func (n *Node) State() *State { return n.state }

// Watermark returns the watermark for the host's membership metadata.
func (n *Node) Watermark() Watermark {
	return Watermark{Frontier: n.state.Frontier(), Digest: n.state.Digest(), Ready: n.Ready()}
}

// SetMembers sets the list of entry hosts, which may contain this host. Before
// the first call the host is not a reader and does not become ready until
// Options.SoloStartTimeout has passed.
func (n *Node) SetMembers(now time.Time, members []Member) Effects {
	n.detectPause(now)
	if !n.bootstrap.membersKnown || !slices.Equal(members, n.memberList) {
		n.memberList = slices.Clone(members)
		n.members = others(members, n.opt.Self.Address)
		n.neighbours = chooseNeighbours(n.opt, n.members)
		n.reader = isReader(n.opt, n.members)
		n.bootstrap.setMembers(now, n)
	}
	n.stepRead(now)
	return n.takeEffects()
}

// Tick runs what is due by now. It must be called several times a second.
func (n *Node) Tick(now time.Time) Effects {
	n.detectPause(now)
	n.bootstrap.step(now, n)
	n.stepResume(now)
	n.stepSync(now)
	n.stepRead(now)
	return n.takeEffects()
}

// Resume reports that the process may have been paused. The node detects a pause
// by itself; the embedder may call Resume if it detects one earlier.
func (n *Node) Resume(now time.Time) Effects {
	n.lastCall = now
	n.resume(now)
	return n.takeEffects()
}

// detectPause detects a pause of the process. It is called before an event is
// processed.
func (n *Node) detectPause(now time.Time) {
	gap := now.Sub(n.lastCall)
	n.lastCall = now
	if gap > n.opt.PauseThreshold {
		n.resume(now)
	}
}

func (n *Node) resume(now time.Time) {
	if !n.Ready() || len(n.members) == 0 {
		return
	}
	n.resumeDeadline = now.Add(n.opt.ResumeTimeout)
	n.event(event.Event{Code: event.ConfigLearning, Reason: "woke from a pause"})
	n.out.InForce = true
	for _, to := range n.neighbours.pick(n.opt.Rand, n.opt.FanOutInside, n.opt.FanOutOutside) {
		n.send(to, n.summary(now, true))
	}
}

func (n *Node) stepResume(now time.Time) {
	if n.CatchingUp() && now.After(n.resumeDeadline) {
		n.caughtUp("no peer answered in time")
	}
}

func (n *Node) caughtUp(reason string) {
	n.resumeDeadline = time.Time{}
	n.event(event.Event{Code: event.ConfigLearned, Reason: reason, Value: int64(n.state.Frontier())})
	n.out.InForce = true
}

// stepSync starts a comparison with one random neighbour at random intervals
// around Options.SyncInterval.
func (n *Node) stepSync(now time.Time) {
	if now.Before(n.nextSync) {
		return
	}
	n.nextSync = now.Add(n.jitter(n.opt.SyncInterval))
	if to, ok := n.neighbours.pickOne(n.opt.Rand); ok {
		n.send(to, n.summary(now, true))
	}
}

func (n *Node) summary(now time.Time, reply bool) Summary {
	m := Summary{
		Frontier: n.state.Frontier(),
		Digest:   n.state.Digest(),
		Ready:    n.Ready(),
		Reply:    reply,
		Informed: !n.confirmedAt.IsZero(),
	}
	if m.Informed {
		m.Age = max(now.Sub(n.confirmedAt), 0)
	}
	return m
}

// jitter returns a uniformly distributed duration from 0.5 d to 1.5 d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.opt.Rand.Int64N(int64(d)))
}

func (n *Node) send(to string, m Message) {
	n.out.Send = append(n.out.Send, Outgoing{to, m})
}

func (n *Node) event(e event.Event) {
	n.out.Events = append(n.out.Events, e)
}

func (n *Node) takeEffects() Effects {
	out := n.out
	n.out = Effects{}
	return out
}

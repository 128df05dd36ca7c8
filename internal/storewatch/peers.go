package storewatch

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// PeerMessage is what one host tells another of what is published.
type PeerMessage struct {
	// From is who tells it.
	From storesync.Host
	// Process names its process, and Sent is that process's steady clock when it
	// sent the message.
	Process uint64
	Sent    time.Duration
	// Revision is the newest revision that it knows.
	Revision uint64
	// Age is how old its knowledge is: it knows every change from before then.
	Age time.Duration
	// ReturnedAge is how long ago the store came back from its last outage; 0 if
	// that is long ago.
	ReturnedAge time.Duration
	// Tree is the way on which the message came.
	Tree storesync.Tree `json:",omitzero"`
	// Unanswered are calls of different hosts that the store did not answer.
	Unanswered []FailedCall `json:",omitempty"`
	// After and Changes are what came after one revision up to Revision; Changes
	// is nil if the message does not carry that.
	After   uint64
	Changes *Changes
	// State is everything, as of Revision; nil if the message does not carry it.
	State *State
}

// FailedCall is a call of a host that the store did not answer.
type FailedCall struct {
	// Host made the call.
	Host netip.AddrPort
	// Age is how long ago it began.
	Age time.Duration
}

// Peers moves messages between the hosts of a fleet. A message may be lost; a
// question ends with its context.
type Peers interface {
	// Send sends a message to each of the hosts. Its changes are left out if they
	// are too large.
	Send(to []netip.AddrPort, t *PeerMessage)
	// Fetch asks a host for what came after a revision, or for everything.
	Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*PeerMessage, error)
}

// ErrNoState is the answer of a host that has not learned anything yet.
var ErrNoState = errors.New("the host knows nothing yet")

// ServeFetch returns what this host tells a peer that asks for what came after a
// revision. It may be called on any goroutine.
func (f *Watcher) ServeFetch(ctx context.Context, after uint64) (*PeerMessage, error) {
	var out *PeerMessage
	done := make(chan struct{})
	f.post(ctx, func() {
		defer close(done)
		out = f.answer(clock.Now(), after)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-done:
	}
	if out == nil {
		return nil, ErrNoState
	}
	return out, nil
}

// Resumed takes in that the machine was suspended: what this host knows is older than its
// timers count, so that what is due is looked for now. It may be called on any goroutine.
func (f *Watcher) Resumed() {
	select {
	case f.inputs <- func() { f.do(f.core.Tick(clock.Now())) }:
	default: // so much happens that it is looked for anyway
	}
}

// ApplyPeerMessage takes in what a peer tells. It may be called on any goroutine; a message
// that finds the queue full is lost.
func (f *Watcher) ApplyPeerMessage(t *PeerMessage) {
	arrived := clock.Now()
	select {
	case f.inputs <- func() { f.heard(arrived, t) }:
	default:
	}
}

// SetHosts takes in which hosts are believed alive; settled is false until that
// was learned from one of them. It reports false if the queue is full.
func (f *Watcher) SetHosts(hosts []storesync.Host, settled bool) bool {
	select {
	case f.inputs <- func() { f.do(f.core.SetHosts(clock.Now(), f.conf.Self, hosts, settled)) }:
		return true
	default:
		return false
	}
}

// told returns what this host knows, without the changes; nil while it knows
// nothing.
func (f *Watcher) told(now time.Time) *PeerMessage {
	n, ok := f.core.Update(now)
	if !ok {
		return nil
	}
	out := f.message(now, n)
	if !n.RecoveredAt.IsZero() {
		out.ReturnedAge = max(now.Sub(n.RecoveredAt), leastAge)
	}
	return out
}

// leastAge is the age of what has happened right now: 0 means long ago, and answers
// carry ages in microseconds.
const leastAge = time.Microsecond

// message returns a message of this host that states its revision and how fresh its
// knowledge is.
func (f *Watcher) message(now time.Time, n storesync.Update) *PeerMessage {
	return &PeerMessage{
		From:     f.conf.Self,
		Process:  f.process,
		Sent:     now.Sub(f.started),
		Revision: n.Revision,
		Age:      now.Sub(n.AsOf),
	}
}

// answer returns what this host tells a peer that knows a revision: what came
// after, or everything if the peer knows nothing or lacks too much.
func (f *Watcher) answer(now time.Time, after uint64) *PeerMessage {
	out := f.told(now)
	if out == nil {
		return nil
	}
	changes, whole := f.mirror.changes(after)
	if after == 0 || !whole {
		out.State = f.mirror.state()
		return out
	}
	out.After, out.Changes = after, changes
	return out
}

// tell tells peers what this host knows, with the changes since the message
// before the last: one of them may have been lost.
func (f *Watcher) tell(now time.Time, ways []storesync.Route) {
	if f.conf.Peers == nil || len(ways) == 0 {
		return
	}
	t := f.told(now)
	if t == nil {
		return
	}
	if changes, whole := f.mirror.changes(f.toldBefore); whole && f.toldBefore < t.Revision {
		t.After, t.Changes = f.toldBefore, changes
	}
	for _, way := range ways {
		t.Tree = way.Tree
		f.conf.Peers.Send(way.To, t)
	}
	f.toldBefore, f.toldLast = f.toldLast, t.Revision
}

// warn tells peers of calls that the store did not answer.
func (f *Watcher) warn(now time.Time, ways []storesync.Route) {
	n, ok := f.core.OutageUpdate(now)
	if !ok || f.conf.Peers == nil || len(ways) == 0 {
		return
	}
	t := f.message(now, n)
	for _, u := range n.FailedCalls {
		t.Unanswered = append(t.Unanswered, FailedCall{Host: u.Host, Age: now.Sub(u.At)})
	}
	for _, way := range ways {
		t.Tree = way.Tree
		f.conf.Peers.Send(way.To, t)
	}
}

func (f *Watcher) heard(arrived time.Time, t *PeerMessage) {
	// What it says was so when it was sent, which may be long ago.
	arrived = arrived.Add(-f.delays.Delay(t.From.Address, t.Process, t.Sent, arrived))
	f.heardReturn(arrived, t)
	var known uint64
	if f.mirror.revision > 0 && t.Changes != nil && t.After <= f.mirror.revision && t.Revision > f.mirror.revision {
		f.takeTold(t)
		known = t.Revision
	}
	f.do(f.core.ApplyPeerUpdate(clock.Now(), t.From, newsOf(arrived, t), known))
}

func (f *Watcher) heardReturn(at time.Time, t *PeerMessage) {
	if t.ReturnedAge > 0 {
		f.do(f.core.ApplyPeerRecovery(clock.Now(), at.Add(-t.ReturnedAge)))
	}
}

func newsOf(at time.Time, t *PeerMessage) storesync.Update {
	out := storesync.Update{Revision: t.Revision, AsOf: at.Add(-t.Age), Tree: t.Tree}
	for _, u := range t.Unanswered {
		out.FailedCalls = append(out.FailedCalls, storesync.FailedCall{Host: u.Host, At: at.Add(-u.Age)})
	}
	return out
}

// ask asks a peer. Its answer is as old as it says when the question was sent.
func (f *Watcher) ask(ctx context.Context, q storesync.PeerFetch) {
	peer := storesync.Host{Address: q.Peer}
	began := clock.Now()
	timeout := f.conf.FetchTimeout + q.ExtraTimeout
	if q.After == 0 {
		timeout = f.conf.InitialReadTimeout // everything is large, and the store is read beside
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t, err := f.conf.Peers.Fetch(callCtx, q.Peer, q.After)
	f.post(ctx, func() {
		if err == nil {
			err = f.takeAnswer(began, t)
		}
		if err != nil {
			f.do(f.core.FetchDone(clock.Now(), peer, storesync.Update{}, err))
			return
		}
		f.do(f.core.FetchDone(clock.Now(), t.From, newsOf(began, t), nil))
	})
}

// errGap says that an answer does not go on where this host's knowledge ends.
var errGap = errors.New("the answer leaves out changes")

func (f *Watcher) takeAnswer(began time.Time, t *PeerMessage) error {
	f.heardReturn(began, t)
	whole := t.State != nil
	if !whole && (t.Changes == nil || f.mirror.revision == 0 || t.After > f.mirror.revision) {
		return errGap
	}
	f.takeTold(t)
	return nil
}

// takeTold puts in force what a peer told.
func (f *Watcher) takeTold(t *PeerMessage) {
	f.emit(event.Event{Code: event.StorePeerTold, Reason: t.From.Address.String(), Value: int64(t.Revision)})
	if t.State != nil {
		f.takeAll(t.State)
		return
	}
	f.take(t.Changes)
}

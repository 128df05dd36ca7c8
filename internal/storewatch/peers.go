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

// PeerMessage is what one host sends to another about the published state.
type PeerMessage struct {
	// From is the sender.
	From storesync.Host
	// Process identifies the sending process, and Sent is the monotonic clock of that process
	// when it sent the message.
	Process uint64
	Sent    time.Duration
	// Revision is the newest revision that the sender knows.
	Revision uint64
	// Age is the age of the sender's knowledge: it knows every change that was older than Age
	// when it sent the message.
	Age time.Duration
	// ReturnedAge is the time since the store recovered from its last outage; 0 if that is
	// long ago.
	ReturnedAge time.Duration
	// Tree is the distribution tree along which the message was sent.
	Tree storesync.Tree `json:",omitzero"`
	// Unanswered are calls of different hosts that the store did not answer.
	Unanswered []FailedCall `json:",omitempty"`
	// Changes are the changes after the revision After up to Revision; Changes
	// is nil if the message does not carry them.
	After   uint64
	Changes *Changes
	// State is the full state as of Revision; nil if the message does not carry it.
	State *State
}

// FailedCall is a call of a host that the store did not answer.
type FailedCall struct {
	// Host is the host that made the call.
	Host netip.AddrPort
	// Age is the time since the start of the call.
	Age time.Duration
}

// Peers exchanges messages with the other hosts of a fleet. Messages may be lost; a fetch ends
// with its context.
type Peers interface {
	// Send sends a message to each of the hosts. Its changes are omitted if they
	// are too large.
	Send(to []netip.AddrPort, t *PeerMessage)
	// Fetch asks a host for the changes after a revision, or for the full state.
	Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*PeerMessage, error)
}

// ErrNoState is returned by a host that has no state yet.
var ErrNoState = errors.New("the host knows nothing yet")

// ServeFetch returns the response to a peer that asks for the changes after a revision. It is
// safe for concurrent use.
func (w *Watcher) ServeFetch(ctx context.Context, after uint64) (*PeerMessage, error) {
	var out *PeerMessage
	done := make(chan struct{})
	w.post(ctx, func() {
		defer close(done)
		out = w.fetchResponse(clock.Now(), after)
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

// Resumed reports that the machine was suspended. This host's state is older than its timers
// measured, so overdue actions are performed at once. It is safe for concurrent use.
func (w *Watcher) Resumed() {
	select {
	case w.inputs <- func() { w.do(w.core.Tick(clock.Now())) }:
	default: // the queue is full: its inputs also trigger overdue actions
	}
}

// ApplyPeerMessage applies a message of a peer. It is safe for concurrent use; a message is
// dropped if the input queue is full.
func (w *Watcher) ApplyPeerMessage(t *PeerMessage) {
	arrived := clock.Now()
	select {
	case w.inputs <- func() { w.receive(arrived, t) }:
	default:
	}
}

// SetHosts sets the hosts that are believed to be alive; settled is false until they were
// learned from one of them. It returns false if the input queue is full.
func (w *Watcher) SetHosts(hosts []storesync.Host, settled bool) bool {
	select {
	case w.inputs <- func() { w.do(w.core.SetHosts(clock.Now(), w.conf.Self, hosts, settled)) }:
		return true
	default:
		return false
	}
}

// updateMessage returns this host's update without the changes, or nil while it has no state.
func (w *Watcher) updateMessage(now time.Time) *PeerMessage {
	n, ok := w.core.Update(now)
	if !ok {
		return nil
	}
	out := w.message(now, n)
	if !n.RecoveredAt.IsZero() {
		out.ReturnedAge = max(now.Sub(n.RecoveredAt), minAge)
	}
	return out
}

// minAge is the age of an event that has just happened: 0 means long ago, and responses carry
// ages in microseconds.
const minAge = time.Microsecond

// message returns a message with this host's revision and the age of its knowledge.
func (w *Watcher) message(now time.Time, n storesync.Update) *PeerMessage {
	return &PeerMessage{
		From:     w.conf.Self,
		Process:  w.process,
		Sent:     now.Sub(w.started),
		Revision: n.Revision,
		Age:      now.Sub(n.AsOf),
	}
}

// fetchResponse returns the response to a peer that knows a revision: the changes after it, or
// the full state if the peer has no state or the history does not go back that far.
func (w *Watcher) fetchResponse(now time.Time, after uint64) *PeerMessage {
	out := w.updateMessage(now)
	if out == nil {
		return nil
	}
	changes, whole := w.mirror.changes(after)
	if after == 0 || !whole {
		out.State = w.mirror.state()
		return out
	}
	out.After, out.Changes = after, changes
	return out
}

// sendUpdate sends this host's update to peers. It includes the changes since the message before
// the last one, since one of them may have been lost.
func (w *Watcher) sendUpdate(now time.Time, routes []storesync.Route) {
	if w.conf.Peers == nil || len(routes) == 0 {
		return
	}
	t := w.updateMessage(now)
	if t == nil {
		return
	}
	if changes, whole := w.mirror.changes(w.previousSent); whole && w.previousSent < t.Revision {
		t.After, t.Changes = w.previousSent, changes
	}
	for _, route := range routes {
		t.Tree = route.Tree
		w.conf.Peers.Send(route.To, t)
	}
	w.previousSent, w.lastSent = w.lastSent, t.Revision
}

// sendOutageUpdate tells peers of calls that the store did not answer.
func (w *Watcher) sendOutageUpdate(now time.Time, routes []storesync.Route) {
	n, ok := w.core.OutageUpdate(now)
	if !ok || w.conf.Peers == nil || len(routes) == 0 {
		return
	}
	t := w.message(now, n)
	for _, u := range n.FailedCalls {
		t.Unanswered = append(t.Unanswered, FailedCall{Host: u.Host, Age: now.Sub(u.At)})
	}
	for _, route := range routes {
		t.Tree = route.Tree
		w.conf.Peers.Send(route.To, t)
	}
}

func (w *Watcher) receive(arrived time.Time, t *PeerMessage) {
	// The message describes the state at the time of sending, which may be long ago.
	arrived = arrived.Add(-w.delays.Delay(t.From.Address, t.Process, t.Sent, arrived))
	w.applyRecovery(arrived, t)
	var known uint64
	if w.mirror.revision > 0 && t.Changes != nil && t.After <= w.mirror.revision && t.Revision > w.mirror.revision {
		w.applyMessage(t)
		known = t.Revision
	}
	w.do(w.core.ApplyPeerUpdate(clock.Now(), t.From, updateFrom(arrived, t), known))
}

func (w *Watcher) applyRecovery(at time.Time, t *PeerMessage) {
	if t.ReturnedAge > 0 {
		w.do(w.core.ApplyPeerRecovery(clock.Now(), at.Add(-t.ReturnedAge)))
	}
}

func updateFrom(at time.Time, t *PeerMessage) storesync.Update {
	out := storesync.Update{Revision: t.Revision, AsOf: at.Add(-t.Age), Tree: t.Tree}
	for _, u := range t.Unanswered {
		out.FailedCalls = append(out.FailedCalls, storesync.FailedCall{Host: u.Host, At: at.Add(-u.Age)})
	}
	return out
}

// fetch asks a peer. The age in the response counts from when the request was sent.
func (w *Watcher) fetch(ctx context.Context, q storesync.PeerFetch) {
	peer := storesync.Host{Address: q.Peer}
	began := clock.Now()
	timeout := w.conf.FetchTimeout + q.ExtraTimeout
	if q.After == 0 {
		timeout = w.conf.InitialReadTimeout // the full state is large, and the store is read in parallel
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t, err := w.conf.Peers.Fetch(callCtx, q.Peer, q.After)
	w.post(ctx, func() {
		if err == nil {
			err = w.applyResponse(began, t)
		}
		if err != nil {
			w.do(w.core.FetchDone(clock.Now(), peer, storesync.Update{}, err))
			return
		}
		w.do(w.core.FetchDone(clock.Now(), t.From, updateFrom(began, t), nil))
	})
}

// errGap is returned for a response that does not start at this host's revision.
var errGap = errors.New("response omits changes after the known revision")

func (w *Watcher) applyResponse(began time.Time, t *PeerMessage) error {
	w.applyRecovery(began, t)
	whole := t.State != nil
	if !whole && (t.Changes == nil || w.mirror.revision == 0 || t.After > w.mirror.revision) {
		return errGap
	}
	w.applyMessage(t)
	return nil
}

// applyMessage applies the state or the changes of a peer's message.
func (w *Watcher) applyMessage(t *PeerMessage) {
	w.emit(event.Event{Code: event.StorePeerTold, Reason: t.From.Address.String(), Value: int64(t.Revision)})
	if t.State != nil {
		w.applyState(t.State)
		return
	}
	w.applyChanges(t.Changes)
}

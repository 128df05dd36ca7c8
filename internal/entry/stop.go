package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/shutdown"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

const (
	handOverTimeout = 2 * time.Second
	leaveTimeout    = time.Second
)

func (e *Entry) newStopper() *shutdown.Stopper {
	return shutdown.New(shutdown.Config{
		Timeouts:   lifecycle.HostConfig{Grace: e.conf.Stop.Grace, Deadline: e.conf.Stop.Timeout},
		Server:     e.server,
		Ready:      e.control.readyCh,
		SetReady:   e.admin.SetReady,
		OnDraining: e.onDraining,
		OnFinished: e.onFinished,
		Emit:       e.emit,
	})
}

// onDraining stops issuing tickets and notifies the peers that this host is leaving.
func (e *Entry) onDraining() {
	e.tickets.StopIssuing()
	go e.leave()
}

func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.members.Leave(ctx)
}

// onFinished hands the tickets over, unless requests were aborted: the records of those
// would not be final.
func (e *Entry) onFinished(aborted int64) {
	if aborted == 0 {
		e.handOver()
	}
}

// handOver transfers the tickets to one peer, chosen at random.
func (e *Entry) handOver() {
	peers := e.usablePeers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	_ = e.tickets.HandOver(ctx, peers[0], peers[1:])
}

func (e *Entry) usablePeers() []netip.AddrPort {
	snapshot := e.members.Snapshot()
	var out []netip.AddrPort
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if m.Usable() && m.Address != snapshot.Self.Address {
			out = append(out, m.Address)
		}
	}
	return out
}

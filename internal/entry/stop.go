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
		Ready:      e.control.served,
		SetReady:   e.admin.SetReady,
		OnDraining: e.draining,
		OnFinished: e.finished,
		Emit:       e.emit,
	})
}

// draining tells the peers that this host is leaving.
func (e *Entry) draining() {
	e.tickets.StopIssuing()
	go e.leave()
}

func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.members.Leave(ctx)
}

// finished hands the tickets over, unless requests were cut off: their records
// would not be final.
func (e *Entry) finished(cut int64) {
	if cut == 0 {
		e.handOver()
	}
}

// handOver gives the tickets to one peer, chosen at random.
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

package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

const (
	stopTick        = 10 * time.Millisecond
	handOverTimeout = 2 * time.Second
	leaveTimeout    = time.Second
)

// stopper runs the lifecycle of the process from its signals.
type stopper struct {
	entry   *Entry
	host    *lifecycle.Host
	busy    atomic.Bool // connections with a request are left after the listener closed
	cancel  context.CancelFunc
	isReady bool
}

func newStopper(e *Entry) *stopper {
	return &stopper{
		entry: e,
		host:  lifecycle.NewHost(lifecycle.HostConfig{Grace: e.conf.Stop.Grace, Deadline: e.conf.Stop.Timeout}),
	}
}

// run returns when the process may exit.
func (s *stopper) run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(stopTick)
	defer ticker.Stop()
	for {
		var effects lifecycle.HostEffects
		select {
		case <-ctx.Done():
			return
		case <-signals:
			effects = s.host.Signal(time.Now(), s.inFlight())
		case now := <-ticker.C:
			effects = s.host.Tick(now, s.inFlight())
			if !s.isReady && s.entry.proxy.Ready() {
				s.isReady = true
				effects = s.host.Ready()
			}
		}
		s.do(effects)
		if effects.Exit {
			return
		}
	}
}

// inFlight counts the requests that a stop waits for.
func (s *stopper) inFlight() int64 {
	n := s.entry.server.InFlight()
	if n == 0 && s.busy.Load() {
		return 1
	}
	return n
}

// do carries out effects in the order of their fields.
func (s *stopper) do(effects lifecycle.HostEffects) {
	if effects.SetReady {
		s.entry.admin.setReady(true)
	}
	if effects.SetNotReady {
		s.drain()
	}
	if effects.StopAccepting {
		s.stopAccepting()
	}
	if effects.Cut > 0 {
		s.entry.emit(event.Event{Code: event.HostCut, Value: effects.Cut})
	}
	if effects.Exit {
		s.exit(effects.Cut)
	}
}

// drain tells the platform's balancer and the peers that this host is leaving.
func (s *stopper) drain() {
	s.entry.admin.setReady(false)
	s.entry.emit(event.Event{Code: event.ProcessStopping, Value: s.inFlight()})
	s.entry.emit(event.Event{Code: event.HostDraining, Value: s.inFlight()})
	s.entry.server.Drain()
	s.entry.tickets.StopIssuing()
	go s.leave()
}

func (s *stopper) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = s.entry.members.Leave(ctx)
}

func (s *stopper) stopAccepting() {
	s.entry.emit(event.Event{Code: event.HostFinishing, Value: s.inFlight()})
	ctx, cancel := context.WithTimeout(context.Background(), s.entry.conf.Stop.Timeout)
	s.cancel = cancel
	s.busy.Store(true)
	go func() {
		s.entry.server.Shutdown(ctx, 0)
		s.busy.Store(false)
	}()
}

// exit hands the tickets over, unless requests were cut off: their records
// would not be final.
func (s *stopper) exit(cut int64) {
	if s.cancel != nil {
		s.cancel()
	}
	if cut == 0 {
		s.handOver()
	}
	s.entry.emit(event.Event{Code: event.ProcessStopped, Value: cut})
}

// handOver gives the tickets to one peer, chosen at random.
func (s *stopper) handOver() {
	peers := s.usablePeers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	_ = s.entry.tickets.HandOver(ctx, peers[0], peers[1:])
}

func (s *stopper) usablePeers() []netip.AddrPort {
	snapshot := s.entry.members.Snapshot()
	var out []netip.AddrPort
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if m.Usable() && m.Address != snapshot.Self.Address {
			out = append(out, m.Address)
		}
	}
	return out
}

// Package shutdown runs the graceful shutdown of an entry host process: it applies the
// state chart of lifecycle.Host to the listener for callers.
package shutdown

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// tickInterval is how often a host that is shutting down checks whether it is done.
const tickInterval = 10 * time.Millisecond

// Config configures a Stopper.
type Config struct {
	// Timeouts bounds the shutdown.
	Timeouts lifecycle.HostConfig
	// Server is the listener for callers.
	Server *httpwire.Server
	// Ready is closed when the host may serve.
	Ready <-chan struct{}
	// SetReady sets the readiness endpoint.
	SetReady func(bool)
	// OnDraining is called when the graceful shutdown begins; nil is allowed.
	OnDraining func()
	// Relayed returns the number of connections that are relayed for other hosts, which the
	// shutdown waits for as for requests; nil is allowed.
	Relayed func() int64
	// OnFinished is called before the process exits, with the number of aborted requests;
	// nil is allowed.
	OnFinished func(aborted int64)
	// Emit sends an event.
	Emit func(event.Event)
}

// Stopper drives the lifecycle of a process by its signals.
type Stopper struct {
	conf         Config
	timeouts     chan lifecycle.HostConfig
	host         *lifecycle.Host
	shuttingDown atomic.Bool // Server.Shutdown is waiting for connections with a request
	cancel       context.CancelFunc
}

// New returns a stopper for a process that is starting.
func New(conf Config) *Stopper {
	return &Stopper{conf: conf, timeouts: make(chan lifecycle.HostConfig, 1), host: lifecycle.NewHost(conf.Timeouts)}
}

// SetTimeouts replaces the bounds of the shutdown. It must not be called after Run has
// returned.
func (s *Stopper) SetTimeouts(times lifecycle.HostConfig) { s.timeouts <- times }

// Run returns when the process may exit. The first signal begins the graceful shutdown,
// the second one ends it at once. There is no ticker before the first signal.
func (s *Stopper) Run(ctx context.Context, signals <-chan os.Signal) {
	ready := s.conf.Ready
	var ticker *time.Ticker
	var ticks <-chan time.Time
	for {
		var effects lifecycle.HostEffects
		select {
		case <-ctx.Done():
			return
		case <-ready:
			ready = nil
			effects = s.host.Ready()
		case times := <-s.timeouts:
			s.host.SetConfig(times)
		case <-signals:
			effects = s.host.Signal(clock.Now(), s.inFlight())
			if ticker == nil {
				ticker = time.NewTicker(tickInterval)
				defer ticker.Stop()
				ticks = ticker.C
			}
		case now := <-ticks:
			effects = s.host.Tick(now, s.inFlight())
		}
		s.apply(effects)
		if effects.Exit {
			return
		}
	}
}

// inFlight returns the number of requests that the shutdown waits for.
func (s *Stopper) inFlight() int64 {
	n := s.conf.Server.InFlight()
	if s.conf.Relayed != nil {
		n += s.conf.Relayed()
	}
	if n == 0 && s.shuttingDown.Load() {
		return 1
	}
	return n
}

// apply carries out effects in the order of their fields.
func (s *Stopper) apply(effects lifecycle.HostEffects) {
	if effects.SetReady {
		s.conf.SetReady(true)
	}
	if effects.SetNotReady {
		s.drain()
	}
	if effects.StopAccepting {
		s.stopAccepting()
	}
	if effects.Aborted > 0 {
		s.conf.Emit(event.Event{Code: event.HostCut, Value: effects.Aborted})
	}
	if effects.Exit {
		s.exit(effects.Aborted)
	}
}

// drain signals to the platform's load balancer and to callers that this host is leaving.
func (s *Stopper) drain() {
	s.conf.SetReady(false)
	s.conf.Emit(event.Event{Code: event.ProcessStopping, Value: s.inFlight()})
	s.conf.Emit(event.Event{Code: event.HostDraining, Value: s.inFlight()})
	s.conf.Server.Drain()
	if s.conf.OnDraining != nil {
		s.conf.OnDraining()
	}
}

func (s *Stopper) stopAccepting() {
	s.conf.Emit(event.Event{Code: event.HostFinishing, Value: s.inFlight()})
	ctx, cancel := context.WithTimeout(context.Background(), s.conf.Timeouts.Deadline)
	s.cancel = cancel
	s.shuttingDown.Store(true)
	go func() {
		s.conf.Server.Shutdown(ctx, 0)
		s.shuttingDown.Store(false)
	}()
}

func (s *Stopper) exit(aborted int64) {
	if s.cancel != nil {
		s.cancel()
	}
	if s.conf.OnFinished != nil {
		s.conf.OnFinished(aborted)
	}
	s.conf.Emit(event.Event{Code: event.ProcessStopped, Value: aborted})
}

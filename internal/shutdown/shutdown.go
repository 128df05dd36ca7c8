// Package shutdown runs the planned stop of an entry host process: the chart
// of pkg/lifecycle's Host, carried out on a caller listener.
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

// tick is how often a stopping host looks whether it is done.
const tick = 10 * time.Millisecond

// Config says what is stopped and who is told.
type Config struct {
	// Timeouts bounds the stop.
	Timeouts lifecycle.HostConfig
	// Server is the callers' listener.
	Server *httpwire.Server
	// Ready is closed when the host may serve.
	Ready <-chan struct{}
	// SetReady sets the readiness endpoint.
	SetReady func(bool)
	// OnDraining is called when the planned stop begins; nil is allowed.
	OnDraining func()
	// OnFinished is called before the process ends, with the requests cut off; nil
	// is allowed.
	OnFinished func(cut int64)
	// Emit sends an event.
	Emit func(event.Event)
}

// Stopper runs the lifecycle of a process from its signals.
type Stopper struct {
	conf   Config
	times  chan lifecycle.HostConfig
	host   *lifecycle.Host
	busy   atomic.Bool // connections with a request are left after the listener closed
	cancel context.CancelFunc
}

// New returns a stopper for a process that is starting.
func New(conf Config) *Stopper {
	return &Stopper{conf: conf, times: make(chan lifecycle.HostConfig, 1), host: lifecycle.NewHost(conf.Timeouts)}
}

// SetTimeouts replaces the bounds of the stop. It must not be called after Run has
// returned.
func (s *Stopper) SetTimeouts(times lifecycle.HostConfig) { s.times <- times }

// Run returns when the process may exit. A first signal begins the planned
// stop, a second one ends it at once. Nothing ticks before the first.
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
		case times := <-s.times:
			s.host.SetConfig(times)
		case <-signals:
			effects = s.host.Signal(clock.Now(), s.inFlight())
			if ticker == nil {
				ticker = time.NewTicker(tick)
				defer ticker.Stop()
				ticks = ticker.C
			}
		case now := <-ticks:
			effects = s.host.Tick(now, s.inFlight())
		}
		s.do(effects)
		if effects.Exit {
			return
		}
	}
}

// inFlight counts the requests that a stop waits for.
func (s *Stopper) inFlight() int64 {
	n := s.conf.Server.InFlight()
	if n == 0 && s.busy.Load() {
		return 1
	}
	return n
}

// do carries out effects in the order of their fields.
func (s *Stopper) do(effects lifecycle.HostEffects) {
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

// drain tells the platform's balancer and callers that this host is leaving.
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
	s.busy.Store(true)
	go func() {
		s.conf.Server.Shutdown(ctx, 0)
		s.busy.Store(false)
	}()
}

func (s *Stopper) exit(cut int64) {
	if s.cancel != nil {
		s.cancel()
	}
	if s.conf.OnFinished != nil {
		s.conf.OnFinished(cut)
	}
	s.conf.Emit(event.Event{Code: event.ProcessStopped, Value: cut})
}

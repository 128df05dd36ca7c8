package lifecycle

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/charts"
	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

// The states, events and effects of charts/entry-host.yaml that the code refers
// to.
var (
	hostServing   = charts.EntryHost.MustState("serving")
	hostDraining  = charts.EntryHost.MustState("draining")
	hostFinishing = charts.EntryHost.MustState("finishing")

	hostReady     = charts.EntryHost.MustEvent("ready")
	hostStop      = charts.EntryHost.MustEvent("stop")
	hostGraceOver = charts.EntryHost.MustEvent("grace-over")
	hostIdle      = charts.EntryHost.MustEvent("idle")
	hostStopNow   = charts.EntryHost.MustEvent("stop-now")
	hostDeadline  = charts.EntryHost.MustEvent("deadline")

	hostDoReady         = charts.EntryHost.MustEffect("set-ready")
	hostDoNotReady      = charts.EntryHost.MustEffect("set-not-ready")
	hostDoCloseIdle     = charts.EntryHost.MustEffect("close-idle")
	hostDoStopAccepting = charts.EntryHost.MustEffect("stop-accepting")
	hostDoCut           = charts.EntryHost.MustEffect("cut")
	hostDoExit          = charts.EntryHost.MustEffect("exit")
)

// HostConfig holds the timeouts of a graceful shutdown.
type HostConfig struct {
	// Grace is how long the host still accepts requests after it reports not
	// ready, so that the platform's load balancer moves callers away.
	Grace time.Duration
	// Deadline is the maximum duration of the shutdown, from the first signal.
	Deadline time.Duration
}

// Validate returns an error for the first invalid field.
func (c HostConfig) Validate() error {
	if c.Grace < 0 {
		return errors.Newf("stop grace: %s is negative", c.Grace)
	}
	if c.Deadline <= c.Grace {
		return errors.Newf("stop timeout: %s is not above the grace of %s", c.Deadline, c.Grace)
	}
	return nil
}

// HostEffects lists the actions that the process must carry out now, in the
// order of the fields.
type HostEffects struct {
	// SetReady and SetNotReady set the readiness endpoint.
	SetReady, SetNotReady bool
	// CloseIdle closes idle caller connections and sends "Connection: close"
	// in responses on the others.
	CloseIdle bool
	// StopAccepting closes the listener and refuses new requests.
	StopAccepting bool
	// Aborted is the number of requests that are aborted.
	Aborted int64
	// Exit ends the process.
	Exit bool
}

// Host is the lifecycle of an entry host process. It must be used on one
// goroutine only.
type Host struct {
	conf            HostConfig
	state           statechart.State
	stopRequestedAt time.Time // time of the first stop signal
}

// NewHost returns a host that is starting.
func NewHost(conf HostConfig) *Host {
	return &Host{conf: conf, state: charts.EntryHost.Initial()}
}

// SetConfig replaces the shutdown timeouts, also those of a shutdown in
// progress.
func (h *Host) SetConfig(conf HostConfig) { h.conf = conf }

// State returns the name of the state in charts/entry-host.yaml.
func (h *Host) State() string { return charts.EntryHost.StateName(h.state) }

// Accepts reports whether new requests are accepted.
func (h *Host) Accepts() bool { return h.state == hostServing || h.state == hostDraining }

// Ready records that a configuration has been applied. Further calls have no
// effect.
func (h *Host) Ready() HostEffects {
	if h.state != charts.EntryHost.Initial() {
		return HostEffects{}
	}
	return h.step(hostReady, 0)
}

// Signal records a stop signal: the first one starts a graceful shutdown, the
// next one forces an immediate exit. InFlight is the number of requests in
// flight.
func (h *Host) Signal(now time.Time, inFlight int64) HostEffects {
	switch {
	case charts.EntryHost.IsFinal(h.state):
		return HostEffects{}
	case h.stopRequestedAt.IsZero():
		h.stopRequestedAt = now
		return h.step(hostStop, inFlight)
	default:
		return h.step(hostStopNow, inFlight)
	}
}

// Tick applies the timeouts that have elapsed. The process calls it every few
// milliseconds during a shutdown.
func (h *Host) Tick(now time.Time, inFlight int64) HostEffects {
	if h.stopRequestedAt.IsZero() || charts.EntryHost.IsFinal(h.state) {
		return HostEffects{}
	}
	elapsed := now.Sub(h.stopRequestedAt)
	switch {
	case h.state == hostFinishing && inFlight == 0:
		return h.step(hostIdle, inFlight)
	case elapsed >= h.conf.Deadline:
		return h.step(hostDeadline, inFlight)
	case h.state == hostDraining && elapsed >= h.conf.Grace:
		return h.step(hostGraceOver, inFlight)
	}
	return HostEffects{}
}

// step applies an event. Its callers pass only events that have a transition
// from the current state; otherwise it does nothing.
func (h *Host) step(e statechart.Event, inFlight int64) HostEffects {
	next, effects, err := charts.EntryHost.Step(h.state, e)
	if err != nil {
		return HostEffects{}
	}
	h.state = next
	out := HostEffects{
		SetReady:      effects.Has(hostDoReady),
		SetNotReady:   effects.Has(hostDoNotReady),
		CloseIdle:     effects.Has(hostDoCloseIdle),
		StopAccepting: effects.Has(hostDoStopAccepting),
		Exit:          effects.Has(hostDoExit),
	}
	if effects.Has(hostDoCut) {
		out.Aborted = inFlight
	}
	return out
}

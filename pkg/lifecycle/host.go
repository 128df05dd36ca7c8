package lifecycle

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/charts"
	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

// The states, events and effects of charts/entry-host.yaml that the code names.
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

// HostConfig bounds a planned stop.
type HostConfig struct {
	// Grace is how long the host still accepts after it reports not ready, so
	// that the platform's balancer moves callers away.
	Grace time.Duration
	// Deadline bounds the whole stop, from the first signal.
	Deadline time.Duration
}

// Validate reports the first field that is wrong.
func (c HostConfig) Validate() error {
	if c.Grace < 0 {
		return errors.Newf("stop grace: %s is negative", c.Grace)
	}
	if c.Deadline <= c.Grace {
		return errors.Newf("stop timeout: %s is not above the grace of %s", c.Deadline, c.Grace)
	}
	return nil
}

// HostEffects is what the process must do now, in the order of the fields.
type HostEffects struct {
	// SetReady and SetNotReady set the readiness endpoint.
	SetReady, SetNotReady bool
	// CloseIdle asks to close idle caller connections and to answer the
	// others with "Connection: close".
	CloseIdle bool
	// StopAccepting closes the listener and refuses new requests.
	StopAccepting bool
	// Aborted is the number of requests that are cut off.
	Aborted int64
	// Exit ends the process.
	Exit bool
}

// Host is the lifecycle of an entry host process. It belongs to one goroutine.
type Host struct {
	conf    HostConfig
	state   statechart.State
	stopped time.Time // when the first signal came
}

// NewHost returns a host that is starting.
func NewHost(conf HostConfig) *Host {
	return &Host{conf: conf, state: charts.EntryHost.Initial()}
}

// SetConfig replaces the times of a planned stop; one that has begun goes on by
// the new ones.
func (h *Host) SetConfig(conf HostConfig) { h.conf = conf }

// State returns the name of the state in charts/entry-host.yaml.
func (h *Host) State() string { return charts.EntryHost.StateName(h.state) }

// Accepts reports whether new requests are taken.
func (h *Host) Accepts() bool { return h.state == hostServing || h.state == hostDraining }

// Ready records that a configuration is in force. Further calls do nothing.
func (h *Host) Ready() HostEffects {
	if h.state != charts.EntryHost.Initial() {
		return HostEffects{}
	}
	return h.step(hostReady, 0)
}

// Signal records a signal to stop: the first begins a planned stop, a further
// one ends it at once. InFlight is the number of requests in flight.
func (h *Host) Signal(now time.Time, inFlight int64) HostEffects {
	switch {
	case charts.EntryHost.IsFinal(h.state):
		return HostEffects{}
	case h.stopped.IsZero():
		h.stopped = now
		return h.step(hostStop, inFlight)
	default:
		return h.step(hostStopNow, inFlight)
	}
}

// Tick does what is due at a time. The process calls it every few
// milliseconds while it stops.
func (h *Host) Tick(now time.Time, inFlight int64) HostEffects {
	if h.stopped.IsZero() || charts.EntryHost.IsFinal(h.state) {
		return HostEffects{}
	}
	elapsed := now.Sub(h.stopped)
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

// step applies an event. Its callers send only events that the state has an
// arrow for; without one nothing happens.
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

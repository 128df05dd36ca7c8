package socket

import (
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// settle is the least time between the start and the stop of an engine.
//
// The library's loops clear their stop flag when they begin to run. A stop
// that comes before is lost: the loop then spins, and the stop waits for it
// forever. The library does not say when its loops run, so the stop waits.
const settle = 100 * time.Millisecond

// Engine is an nbhttp engine that can be stopped soon after its start.
type Engine struct {
	*nbhttp.Engine
	started time.Time
}

// Start starts the loops and opens the listeners.
func (e *Engine) Start() error {
	e.started = time.Now()
	return e.Engine.Start()
}

// Stop closes the listeners and all connections, and ends the loops. It must
// be called once, after Start.
func (e *Engine) Stop() {
	time.Sleep(time.Until(e.started.Add(settle)))
	e.Engine.Stop()
}

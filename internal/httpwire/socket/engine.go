package socket

import (
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// minUptime is the minimum time between the start and the stop of an engine.
//
// The library's event loops clear their stop flag when they begin to run. A stop
// before that is lost: the loop then spins, and the stop waits for it forever. The
// library does not report when its loops are running, so Stop waits for this time.
const minUptime = 100 * time.Millisecond

// Engine is an nbhttp engine that can be stopped safely right after its start.
type Engine struct {
	*nbhttp.Engine
	started time.Time
}

// Start starts the event loops and opens the listeners.
func (e *Engine) Start() error {
	e.started = time.Now()
	return e.Engine.Start()
}

// Stop closes the listeners and all connections, and ends the event loops. It must be
// called once, after Start.
func (e *Engine) Stop() {
	time.Sleep(time.Until(e.started.Add(minUptime)))
	e.Engine.Stop()
}

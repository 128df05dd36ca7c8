package proxy

import (
	"net/http"
	"sync"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// RequestLogger receives all events of a request when it ends.
type RequestLogger interface {
	// LogRequest is called once for each request. Notable is set if the request failed, was not
	// sent exactly once, or got its response after its target. Events must not be retained.
	LogRequest(events []event.Event, notable bool)
}

// WithRequestLogger passes the events of each request to t when it ends.
func WithRequestLogger(t RequestLogger) Option { return func(p *Proxy) { p.requestLogger = t } }

// eventLog collects the events of one request. It is locked because the attempts of a
// hedged request run concurrently.
type eventLog struct {
	mu     sync.Mutex
	events []event.Event
	closed bool
}

// typicalEvents is the number of events of an ordinary request.
const typicalEvents = 4

func (t *eventLog) add(e event.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	if t.events == nil {
		t.events = make([]event.Event, 0, typicalEvents)
	}
	t.events = append(t.events, e)
}

// close returns the events. Later events are dropped.
func (t *eventLog) close() []event.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return t.events
}

// logRequest passes the events to the request logger.
func (x *exchange) logRequest(resp *httpwire.Response) {
	if x.proxy.requestLogger != nil {
		x.proxy.requestLogger.LogRequest(x.eventLog.close(), x.notable(resp))
	}
}

// notable reports whether the request is worth investigating.
func (x *exchange) notable(resp *httpwire.Response) bool {
	if resp.Status >= http.StatusInternalServerError || x.sent != 1 || x.rule == nil {
		return true
	}
	target := x.rule.Config.TargetLatency.Std()
	return target > 0 && clock.Since(x.req.Received) > target
}

package proxy

import (
	"net/http"
	"sync"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// RequestLogger receives all events of a request at its end.
type RequestLogger interface {
	// Ended is called once for each request. Notable says that it failed, was
	// sent more than once, or was answered after its target. Trail must not be
	// kept.
	Ended(trail []event.Event, notable bool)
}

// WithTrails hands the events of each request to t when it has ended.
func WithTrails(t RequestLogger) Option { return func(p *Proxy) { p.trails = t } }

// trail gathers the events of one request. Sends of a hedged request run at
// the same time.
type trail struct {
	mu     sync.Mutex
	events []event.Event
	ended  bool
}

// typicalTrail is the number of events of an ordinary request.
const typicalTrail = 4

func (t *trail) add(e event.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if t.events == nil {
		t.events = make([]event.Event, 0, typicalTrail)
	}
	t.events = append(t.events, e)
}

// end returns the events; later ones are dropped.
func (t *trail) end() []event.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	return t.events
}

// ended hands the trail over.
func (x *exchange) ended(resp *httpwire.Response) {
	if x.proxy.trails != nil {
		x.proxy.trails.Ended(x.trail.end(), x.notable(resp))
	}
}

// notable reports whether a person may ask about the request.
func (x *exchange) notable(resp *httpwire.Response) bool {
	if resp.Status >= http.StatusInternalServerError || x.sent != 1 || x.rule == nil {
		return true
	}
	target := x.rule.Config.TargetLatency.Std()
	return target > 0 && clock.Since(x.req.Received) > target
}

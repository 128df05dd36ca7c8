package proxy

import (
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/tracing"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// exchange is the state of one request on this hop. The goroutine that serves
// the request owns it; a send on a goroutine of its own only reads the fields
// set before the first send, and guard and those under sendMu.
type exchange struct {
	proxy    *Proxy
	req      *httpwire.Request
	id       string
	rule     *routing.Rule
	version  uint64 // of the configuration that admitted it
	state    *ruleState
	deadline time.Time
	isRetry  bool
	caller   caller
	hop      *tracing.Hop // nil without a tracer

	sent    int
	tried   []*balancer.Upstream
	unknown *errkind.Error // the first failure after which the request may have run
	first   *errkind.Error // the first failure of a send
	noRetry bool           // an upstream said not to retry
	failure *result        // the newest answer of an upstream that says it failed
	guard   guard
	asked   int // hosts that were asked for a turn

	triedFirst [typicalTries]*balancer.Upstream // memory of tried

	trail trail // used with RequestLogger

	sendMu sync.Mutex
	lent   bool   // req was given to a send
	values values // of the headers that are set
}

// typicalTries is the number of upstreams tried without more memory.
const typicalTries = 2

// admit finds the rule of the request. A process that was paused learns first.
func (x *exchange) admit() *errkind.Error {
	if u := x.proxy.upstreams; u != nil && u.Resuming() {
		return errkind.New(errkind.NotReady, wakingDetail)
	}
	s := x.proxy.state.Load()
	if s == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	x.version = s.table.Revision
	x.rule = s.table.Route(x.req.Method, x.req.Host, x.req.Path)
	if x.rule == nil {
		return errkind.New(errkind.NoRoute, x.req.Path)
	}
	if reason := x.rule.Service.Unserved; reason != "" {
		return errkind.New(errkind.RouteUnserved, reason)
	}
	if err := x.identify(s.table); err != nil {
		return err
	}
	if err := x.quarantined(); err != nil {
		return err
	}
	x.state = s.rules[x.rule].next()
	x.state.group.questions.arrived()
	return nil
}

func (x *exchange) repeatable() bool { return x.rule.Config.Repeat == config.Repeatable }

// emit completes and sends a decision event.
func (x *exchange) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = x.proxy.host
	e.Request = x.id
	e.Elapsed = e.At.Sub(x.req.Received)
	if x.rule != nil {
		e.Service = x.rule.Service.Name
		e.Rule = x.rule.Config.Name
	}
	e.Version = x.version
	x.proxy.events.Emit(e)
	if x.proxy.trails != nil {
		x.trail.add(e)
	}
	x.hop.Emit(e)
}

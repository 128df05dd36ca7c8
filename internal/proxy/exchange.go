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

// exchange is the state of one request on this hop. It is owned by the goroutine that
// serves the request. An attempt on another goroutine only reads the fields set before
// the first attempt, and uses guard and the fields protected by sendMu.
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

	sent           int
	tried          []*balancer.Upstream
	unknown        *errkind.Error // the first failure after which the request may have run
	first          *errkind.Error // the first failure of an attempt
	waited         time.Duration  // in the queue, for the earlier attempts and the current one
	noRetry        bool           // an upstream said not to retry
	failure        *result        // the latest failure response of an upstream
	guard          guard
	borrowAttempts int    // hosts that were asked for a time slot
	retryBorrowed  bool   // another host has lent the current extra attempt
	retryInterval  uint32 // budget interval before the current extra attempt was withdrawn
	returning      returningState

	triedBuffer [typicalAttempts]*balancer.Upstream // backing array of tried

	eventLog eventLog // used if the proxy has a requestLogger

	sendMu      sync.Mutex
	requestUsed bool   // req was passed to an attempt
	values      values // backing of the headers that are set
}

// typicalAttempts is the number of attempts that need no allocation for tried.
const typicalAttempts = 2

// admit finds the rule of the request. A process that was paused refuses requests until it
// has caught up with its peers.
func (x *exchange) admit() *errkind.Error {
	if u := x.proxy.upstreams; u != nil && u.Resuming() {
		return errkind.New(errkind.NotReady, resumingDetail)
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
	x.state.group.queryBudget.addRequest()
	return nil
}

func (x *exchange) repeatable() bool { return x.rule.Config.Repeat == config.Repeatable }

// emit fills in the fields common to all events of the request and emits e.
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
	if x.proxy.requestLogger != nil {
		x.eventLog.add(e)
	}
	x.hop.Emit(e)
}

// Package proxy handles a request from its arrival at an entry host to its
// response: it routes the request, waits for a slot, picks an upstream, sends,
// retries or hedges, and responds with what is known about execution.
//
// The decisions are made in pkg/retry, pkg/queue, pkg/limit and pkg/balancer; this
// package provides the clock, random numbers and goroutines.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/tracing"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Sender sends one request to one upstream. It must not modify the request or
// its header, or use them after Do returns. When ctx ends, Do cancels the request at
// the upstream and returns.
type Sender interface {
	Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error)
}

// Proxy implements httpwire.Handler.
type Proxy struct {
	host          string
	prefix        string
	sender        Sender
	connChecker   ConnectionChecker // nil if the sender does not implement it
	poison        poisonState
	executor      Executor
	events        event.Sink
	dialect       *Dialect
	connection    connectionHeaders
	loadQuerier   LoadQuerier
	slotBorrower  SlotBorrower
	retryBorrower RetryBorrower
	borrowLimit   retry.BorrowLimit // of the requests to retryBorrower
	requestLogger RequestLogger
	tracer        *tracing.Tracer
	upstreams     Upstreams
	callerNotes   CallerNotes // nil if callers are not distinguished
	quotas        Quotas      // nil if quotas are not enforced
	keysKnown     func() bool // nil if keys are always current
	// crossingCounter counts the traffic that crosses failure domains.
	crossingCounter CrossingCounter
	// bytes is the average over all requests.
	bytes    byteAverage
	random   func() uint64
	nextID   atomic.Uint64
	state    atomic.Pointer[snapshot]
	starting *starting

	// entryHosts is accessed by the control goroutine only.
	entryHosts int

	// Constructors of the components that limit a rule or a group. Tests that
	// measure the effect of a component replace its constructor.
	newBudget  func(percent float64) *retry.Budget
	newLimiter func(slots int) *limit.Limiter
	// sharedBudget creates the retry budget of a registered service.
	sharedBudget func() *retry.Budget
}

// Option configures a Proxy.
type Option func(*Proxy)

// WithExecutor runs non-repeatable requests through e.
func WithExecutor(e Executor) Option { return func(p *Proxy) { p.executor = e } }

// WithTracer creates a span for each request and each attempt. A nil tracer disables tracing.
func WithTracer(t *tracing.Tracer) Option { return func(p *Proxy) { p.tracer = t } }

// WithSharedBudget limits the retries and hedges to a registered service, over all
// rules, to a percentage of its first attempts plus a reserve, in any retry.WindowLength.
func WithSharedBudget(percent, reserve float64) Option {
	return func(p *Proxy) { p.setSharedBudget(percent, reserve) }
}

func (p *Proxy) setSharedBudget(percent, reserve float64) {
	p.sharedBudget = func() *retry.Budget { return retry.NewSharedBudget(percent, reserve) }
}

// WithStartupQueue lets requests that arrive before the first configuration wait for it
// for up to maxStartWait, during startWindow after New.
func WithStartupQueue() Option { return func(p *Proxy) { p.starting = newStarting(true) } }

// WithQuarantinesOfPeers lets requests that arrive right after the start wait until QuarantinesKnown is
// called, for at most maxInformWait after New. It does nothing if there are no peers. It must come
// after WithStartupQueue.
func WithQuarantinesOfPeers(peers bool) Option {
	return func(p *Proxy) {
		p.starting.informed.Store(!peers)
		p.starting.informedUntil = clock.Now().Add(maxInformWait)
	}
}

// QuarantinesKnown is called when this host knows which requests its peers refuse.
func (p *Proxy) QuarantinesKnown() { p.starting.inform() }

// WithRandom uses f as the source of random numbers. It must be safe for concurrent use.
func WithRandom(f func() uint64) Option { return func(p *Proxy) { p.random = f } }

// New returns a proxy for the entry host with the given IP. The incarnation keeps
// request IDs unique across restarts.
func New(host, incarnation string, sender Sender, events event.Sink, options ...Option) *Proxy {
	p := &Proxy{
		host:            host,
		prefix:          incarnation + "-",
		sender:          sender,
		executor:        directExecutor{},
		events:          events,
		dialect:         DefaultDialect(),
		random:          rand.Uint64,
		poison:          poisonState{table: poison.NewTable()},
		entryHosts:      1,
		starting:        newStarting(false),
		crossingCounter: discardCrossings{},
		newBudget:       retry.NewBudget,
		newLimiter:      newLimiter,
		sharedBudget: func() *retry.Budget {
			return retry.NewBudget(config.DefaultBudgetPercent)
		},
	}
	p.connChecker, _ = sender.(ConnectionChecker)
	for _, o := range options {
		o(p)
	}
	p.connection = newConnectionHeaders(p.dialect)
	return p
}

// SetTable publishes a routing table. It is called by the control goroutine.
func (p *Proxy) SetTable(t *routing.Table) {
	p.state.Store(p.nextSnapshot(p.state.Load(), t))
	p.starting.release()
}

// SetGroup publishes a newer snapshot of a group in the current table of which only
// the upstreams have changed. It is called by the control goroutine.
func (p *Proxy) SetGroup(service *config.Service, group *routing.Group) {
	s := p.state.Load()
	if s == nil {
		return
	}
	if g := s.groups[groupNameOf(service, group.Config)]; g != nil {
		g.configure(group, p.entryHosts)
	}
}

// SetSharedBudget changes the values set by WithSharedBudget. It is called by the
// control goroutine.
func (p *Proxy) SetSharedBudget(percent, reserve float64) {
	p.setSharedBudget(percent, reserve)
	s := p.state.Load()
	if s == nil {
		return
	}
	for _, g := range s.groups {
		g.budget.SetPercent(percent)
		g.budget.SetReserve(reserve)
	}
}

// Tick advances the budgets of registered services. The control goroutine calls it every
// retry.TickInterval.
func (p *Proxy) Tick(now time.Time) {
	s := p.state.Load()
	if s == nil {
		return
	}
	for _, g := range s.groups {
		g.budget.Tick(now)
	}
}

// SetEntryHosts sets the number of live entry hosts that share the load, which
// bounds this host's share of a group. It is called by the control goroutine.
func (p *Proxy) SetEntryHosts(n int) {
	p.entryHosts = max(n, 1)
	s := p.state.Load()
	if s == nil {
		return
	}
	for _, g := range s.groups {
		g.configure(g.current.Load(), p.entryHosts)
	}
}

// Ready reports whether there is a current routing table.
func (p *Proxy) Ready() bool { return p.state.Load() != nil }

// Serve implements httpwire.Handler.
func (p *Proxy) Serve(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	x := p.newExchange(req)
	defer x.hop.End()
	resp := x.respond(ctx)
	x.logRequest(resp)
	return resp
}

// AllowConcurrent implements httpwire.ConcurrentHandler: a repeatable request may run while earlier
// requests on its connection are still running.
func (p *Proxy) AllowConcurrent(req *httpwire.Request) bool {
	s := p.state.Load()
	if s == nil {
		return false
	}
	rule := s.table.Route(req.Method, req.Host, req.Path)
	return rule != nil && rule.Config.Repeat == config.Repeatable
}

func (x *exchange) respond(ctx context.Context) *httpwire.Response {
	if !x.proxy.Ready() {
		x.proxy.starting.wait(ctx, x.req.Received)
	}
	if !x.proxy.starting.informed.Load() {
		x.proxy.starting.waitInformed(ctx)
	}
	err := x.admit()
	if err == nil {
		err = x.takeQuota(ctx)
	}
	if err != nil {
		return x.refuse(execution.RefusalBeforeExecute(x.req.Header, err))
	}
	return x.serve(ctx, x.proxy.executor)
}

// ServeForwarded runs a request forwarded by a peer. This host has already decided
// that it may run.
func (p *Proxy) ServeForwarded(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	x := p.newExchange(req)
	defer x.hop.End()
	if err := x.admit(); err != nil {
		return x.refuse(err)
	}
	return x.serve(ctx, directExecutor{})
}

// RefuseUnread responds to a request that was refused before it was read completely.
func (p *Proxy) RefuseUnread(remoteAddr string, err *errkind.Error) *httpwire.Response {
	x := p.newExchange(&httpwire.Request{RemoteAddr: remoteAddr, Received: clock.Now(), Header: make(http.Header)})
	defer x.hop.End()
	resp := x.refuse(err)
	x.logRequest(resp)
	return resp
}

func (p *Proxy) newExchange(req *httpwire.Request) *exchange {
	x := &exchange{proxy: p, req: req, id: p.requestID(req)}
	x.tried = x.triedBuffer[:0]
	x.hop = p.tracer.Begin(x.id, req.Header, clock.ToWall(req.Received))
	return x
}

// serve runs an admitted request.
func (x *exchange) serve(ctx context.Context, executor Executor) *httpwire.Response {
	x.emit(event.Event{Code: event.RequestReceived})
	ctx, cancel := context.WithTimeout(ctx, clock.Until(x.limitDeadline()))
	defer cancel()
	x.prepareHeader()
	if x.repeatable() {
		return x.run(ctx)
	}
	return executor.Execute(ctx, x.req, x.rule, x.run)
}

// Package proxy carries one request from its arrival at an entry host to its
// answer: route, wait for a slot, choose, send, retry or hedge, and answer with
// what is known about execution.
//
// The decisions live in pkg/retry, pkg/queue, pkg/limit and pkg/balancer; this
// package gives them the time, random numbers and goroutines.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

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

// Sender sends one request to one upstream. It must not change the request or
// its header, and not use it after it returned. When ctx ends it gives up and lets the upstream stop its work.
type Sender interface {
	Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error)
}

// Proxy implements httpwire.Handler.
type Proxy struct {
	host      string
	prefix    string
	sender    Sender
	listeners ConnectionChecker // nil if the sender can't tell
	poison    poisoned
	executor  Executor
	events    event.Sink
	dialect   *Dialect
	asker     LoadQuerier
	lenders   SlotBorrower
	trails    RequestLogger
	tracer    *tracing.Tracer
	upstreams Upstreams
	quotas    Quotas      // nil keeps to none
	keysKnown func() bool // nil if they always are
	random    func() uint64
	nextID    atomic.Uint64
	state     atomic.Pointer[snapshot]
	starting  *starting

	// entryHosts belongs to the control goroutine.
	entryHosts int

	// Constructors of the parts that bound a rule or a group; tests that
	// measure what a part is worth leave it out.
	newBudget  func(percent float64) *retry.Budget
	newLimiter func(slots int) *limit.Limiter
	// sharedBudget makes the budget of a registered service.
	sharedBudget func() *retry.Budget
}

// Option changes a Proxy that New builds.
type Option func(*Proxy)

// WithExecutor runs non-repeatable requests through e.
func WithExecutor(e Executor) Option { return func(p *Proxy) { p.executor = e } }

// WithTracer makes a span for each request and each send. A nil tracer is off.
func WithTracer(t *tracing.Tracer) Option { return func(p *Proxy) { p.tracer = t } }

// WithSharedBudget bounds the extra sends to a registered service, over all
// rules, to a share of the first sends, in percent, and a reserve.
func WithSharedBudget(percent, reserve float64) Option {
	return func(p *Proxy) { p.setSharedBudget(percent, reserve) }
}

func (p *Proxy) setSharedBudget(percent, reserve float64) {
	p.sharedBudget = func() *retry.Budget { return retry.NewBudgetWithReserve(percent, reserve) }
}

// WithStartupQueue lets requests that come before the first configuration wait for it,
// for a moment after New.
func WithStartupQueue() Option { return func(p *Proxy) { p.starting = newStarting(true) } }

// WithRandom takes random numbers from f, which must be safe for concurrent use.
func WithRandom(f func() uint64) Option { return func(p *Proxy) { p.random = f } }

// New returns a proxy for the entry host with the given IP. Incarnation makes
// request ids unique over restarts.
func New(host, incarnation string, sender Sender, events event.Sink, options ...Option) *Proxy {
	p := &Proxy{
		host:       host,
		prefix:     incarnation + "-",
		sender:     sender,
		executor:   sendOnce{},
		events:     events,
		dialect:    DefaultDialect(),
		random:     rand.Uint64,
		poison:     poisoned{table: poison.NewTable()},
		entryHosts: 1,
		starting:   newStarting(false),
		newBudget:  retry.NewBudget,
		newLimiter: newLimiter,
		sharedBudget: func() *retry.Budget {
			return retry.NewBudget(config.DefaultBudgetPercent)
		},
	}
	p.listeners, _ = sender.(ConnectionChecker)
	for _, o := range options {
		o(p)
	}
	return p
}

// SetTable publishes a routing table. The control goroutine calls it.
func (p *Proxy) SetTable(t *routing.Table) {
	p.state.Store(p.nextSnapshot(p.state.Load(), t))
	p.starting.done()
}

// SetGroup publishes a newer snapshot of a group that the table has, when
// nothing but its upstreams changed. The control goroutine calls it.
func (p *Proxy) SetGroup(service *config.Service, group *routing.Group) {
	s := p.state.Load()
	if s == nil {
		return
	}
	if g := s.groups[nameOf(service, group.Config)]; g != nil {
		g.configure(group, p.entryHosts)
	}
}

// SetSharedBudget changes what WithSharedBudget set. The control goroutine calls
// it.
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

// Tick lets the budgets of registered services know that retry.TickInterval has passed. The
// control goroutine calls it.
func (p *Proxy) Tick() {
	s := p.state.Load()
	if s == nil {
		return
	}
	for _, g := range s.groups {
		g.budget.Tick()
	}
}

// SetEntryHosts says over how many live entry hosts the load is spread, which
// bounds this one's share of a group. The control goroutine calls it.
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

// Ready reports whether a routing table is in force.
func (p *Proxy) Ready() bool { return p.state.Load() != nil }

// Serve implements httpwire.Handler.
func (p *Proxy) Serve(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	x := p.newExchange(req)
	defer x.hop.End()
	resp := x.respond(ctx)
	x.ended(resp)
	return resp
}

// MayRunAhead implements httpwire.Ahead: a repeatable request may run while earlier
// requests of its connection do.
func (p *Proxy) MayRunAhead(req *httpwire.Request) bool {
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
	err := x.admit()
	if err == nil {
		err = x.withinQuota(ctx)
	}
	if err != nil {
		return x.refuse(execution.RefusalBeforeExecute(x.req.Header, err))
	}
	return x.serve(ctx, x.proxy.executor)
}

// ServeForwarded runs a request that a peer forwarded to this host, which has
// already decided that it may run.
func (p *Proxy) ServeForwarded(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	x := p.newExchange(req)
	defer x.hop.End()
	if err := x.admit(); err != nil {
		return x.refuse(err)
	}
	return x.serve(ctx, sendOnce{})
}

// RefuseUnread answers a request that was refused before it was read whole.
func (p *Proxy) RefuseUnread(remoteAddr string, err *errkind.Error) *httpwire.Response {
	x := p.newExchange(&httpwire.Request{RemoteAddr: remoteAddr, Received: clock.Now(), Header: make(http.Header)})
	defer x.hop.End()
	resp := x.refuse(err)
	x.ended(resp)
	return resp
}

func (p *Proxy) newExchange(req *httpwire.Request) *exchange {
	x := &exchange{proxy: p, req: req, id: p.requestID(req)}
	x.tried = x.triedFirst[:0]
	x.hop = p.tracer.Begin(x.id, req.Header, clock.Wall(req.Received))
	return x
}

// serve runs a request that was admitted.
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

// Package proxy carries one request from its arrival at an entry host to its
// answer: route, choose, send, and answer with what is known about execution.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Headers that the entry host reads or sets.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "X-Request-Timeout-Ms"
	HeaderOutcome   = "Dapplespindle-Outcome"
	HeaderError     = "Dapplespindle-Error"
	HeaderUpstream  = "Dapplespindle-Upstream"
	HeaderRetry     = "Retry-After"
)

// Sender sends one request to one upstream.
type Sender interface {
	Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error)
}

// Proxy implements httpwire.Handler.
type Proxy struct {
	host   string
	sender Sender
	events event.Sink
	table  atomic.Pointer[routing.Table]
	nextID atomic.Uint64
	prefix string
}

// New returns a proxy for the entry host with the given IP. Incarnation makes
// request ids unique over restarts.
func New(host, incarnation string, sender Sender, events event.Sink) *Proxy {
	return &Proxy{host: host, sender: sender, events: events, prefix: incarnation + "-"}
}

// SetTable publishes a routing table. The control goroutine calls it.
func (p *Proxy) SetTable(t *routing.Table) { p.table.Store(t) }

// Ready reports whether a routing table is in force.
func (p *Proxy) Ready() bool { return p.table.Load() != nil }

// exchange is the state of one request on this hop.
type exchange struct {
	proxy *Proxy
	req   *httpwire.Request
	id    string
	rule  *routing.Rule
	tried []*balancer.Upstream
}

// Serve implements httpwire.Handler.
func (p *Proxy) Serve(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	x := &exchange{proxy: p, req: req, id: p.requestID(req)}
	table := p.table.Load()
	if table == nil {
		return x.refuse(errkind.New(errkind.NotReady, "no configuration yet"))
	}
	x.rule = table.Route(req.Method, req.Host, req.Path)
	if x.rule == nil {
		return x.refuse(errkind.New(errkind.NoRoute, req.Path))
	}
	x.emit(event.Event{Code: event.RequestReceived})
	ctx, cancel := context.WithDeadline(ctx, x.deadline())
	defer cancel()
	httpwire.RemoveHopByHop(req.Header)
	return x.run(ctx)
}

func (p *Proxy) requestID(req *httpwire.Request) string {
	if id := req.Header.Get(HeaderRequestID); id != "" && len(id) <= 64 {
		return id
	}
	id := p.prefix + strconv.FormatUint(p.nextID.Add(1), 36)
	req.Header[HeaderRequestID] = []string{id}
	return id
}

// deadline is the earlier of the rule's and the caller's.
func (x *exchange) deadline() time.Time {
	limit := x.rule.Config.Deadline.Std()
	if ms, err := strconv.Atoi(x.req.Header.Get(HeaderTimeout)); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return x.req.Received.Add(limit)
}

// run sends the request until it is answered or may not be sent again.
func (x *exchange) run(ctx context.Context) *httpwire.Response {
	for attempt := 1; ; attempt++ {
		resp, err := x.attempt(ctx, attempt)
		if err == nil {
			return resp
		}
		x.emit(event.Event{Code: event.AttemptFailed, Attempt: attempt, Reason: err.Kind.String(), Detail: err.Error()})
		if !x.mayRetry(ctx, attempt, err) {
			return x.refuse(err)
		}
		x.emit(event.Event{Code: event.RetrySent, Attempt: attempt + 1, Reason: err.Kind.String()})
	}
}

func (x *exchange) mayRetry(ctx context.Context, attempt int, err *errkind.Error) bool {
	rule := x.rule.Config
	return rule.Repeat == config.Repeatable &&
		attempt < rule.Retry.MaxAttempts &&
		ctx.Err() == nil &&
		err.Kind != errkind.NoUpstream
}

func (x *exchange) attempt(ctx context.Context, n int) (*httpwire.Response, *errkind.Error) {
	choice, err := x.rule.Group.Picker.Pick(balancer.PickInfo{
		Now:     time.Now(),
		Random:  rand.Uint64(),
		Exclude: x.tried,
	})
	if err != nil {
		return nil, errkind.Wrap(errkind.NoUpstream, err, x.rule.Group.Config.Name)
	}
	u := choice.Upstream
	x.tried = append(x.tried, u)
	x.emit(event.Event{Code: event.UpstreamChosen, Upstream: u.ID, Reason: choice.Reason, Attempt: n, Value: u.Outstanding()})
	x.passDeadline(ctx)
	u.Start()
	defer u.Done()
	resp, sendErr := x.proxy.sender.Do(ctx, u.Address, x.req)
	if sendErr != nil {
		return nil, sendErr
	}
	httpwire.RemoveHopByHop(resp.Header)
	resp.Header[HeaderOutcome] = []string{errkind.Ran.String()}
	resp.Header[HeaderUpstream] = []string{u.ID}
	resp.Header[HeaderRequestID] = []string{x.id}
	x.emit(event.Event{Code: event.RequestAnswered, Upstream: u.ID, Attempt: n, Value: int64(resp.Status)})
	return resp, nil
}

// passDeadline tells the upstream how much of the deadline is left.
func (x *exchange) passDeadline(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	left := max(time.Until(deadline).Milliseconds(), 1)
	x.req.Header[HeaderTimeout] = []string{strconv.FormatInt(left, 10)}
}

// refuse answers with the kind's entry in the error table.
func (x *exchange) refuse(err *errkind.Error) *httpwire.Response {
	answer := err.Kind.Answer()
	code := event.RequestRefused
	if answer.Outcome == errkind.Unknown {
		code = event.RequestUnknown
	}
	x.emit(event.Event{Code: code, Reason: answer.Name, Detail: err.Error(), Value: int64(answer.Status)})
	h := http.Header{
		"Content-Type":  {"text/plain; charset=utf-8"},
		HeaderOutcome:   {answer.Outcome.String()},
		HeaderError:     {answer.Name},
		HeaderRequestID: {x.id},
	}
	if answer.RetryAfter {
		h[HeaderRetry] = []string{"1"}
	}
	return &httpwire.Response{Status: answer.Status, Header: h, Body: []byte(err.Error() + "\n")}
}

func (x *exchange) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = x.proxy.host
	e.Request = x.id
	e.Elapsed = e.At.Sub(x.req.Received)
	if x.rule != nil {
		e.Service = x.rule.Service.Name
		e.Rule = x.rule.Config.Name
	}
	x.proxy.events.Emit(e)
}

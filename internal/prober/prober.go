// Package prober sends load probes to upstreams, within the probe budget.
//
// It probes the upstream with the oldest load report first, and none that reports
// its load in responses often enough. Every probe needs a grant of pkg/probebudget,
// and an independent audit checks the intervals between probes.
package prober

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// HeaderLoad is the response header with the number of active requests at the upstream.
const HeaderLoad = "X-Load-Active"

const pollInterval = 20 * time.Millisecond

// Sender sends one request to one upstream.
type Sender interface {
	Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error)
}

// Report is the result of a probe.
type Report struct {
	// Address is the server that was probed.
	Address string
	// Upstreams are the IDs under which groups list the server.
	Upstreams []string
	// Active is the number of active requests there.
	Active int
	// Sent and Received are the times of the probe and of its response.
	Sent, Received time.Time
}

// Config configures a Prober.
type Config struct {
	// EntryHost is this host's IP, for events.
	EntryHost string
	// Sender sends the probes.
	Sender Sender
	// Events receives the events of the prober.
	Events event.Sink
	// Report receives each report. It is called on the probe's goroutine.
	Report func(Report)
	// ParseBackoff returns the backoff period that a response requests; 0 if none. If it is nil,
	// responses are not checked for one.
	ParseBackoff func(status int, h http.Header) (time.Duration, error)
	// OnBackoff receives the end of the backoff period of the server at an address. It is
	// called on the probe's goroutine.
	OnBackoff func(address string, until time.Time)
	// Limited reports whether the server at an address has announced a rate limit. Such a
	// server is not probed, so that the limit is left to callers. Nil means that none has. It
	// is called on the control goroutine and on that of Run.
	Limited func(address string) bool
	// Path is the request path of a probe.
	Path string
	// Timeout limits the duration of a probe, and thereby the slot time that it takes.
	Timeout time.Duration
	// ReportTTL is the age up to which a load report makes a probe unnecessary.
	ReportTTL time.Duration
}

// Prober sends probes until its context ends.
type Prober struct {
	conf    Config
	targets atomic.Pointer[map[string]*target]

	mu      sync.Mutex // guards what follows
	budget  *probebudget.Budget
	audit   *probebudget.Audit
	scanned time.Time   // time of the last scan
	found   []candidate // result of the last scan
	queue   []candidate // remaining part of found
}

// New returns a prober without targets.
func New(conf Config) *Prober {
	p := &Prober{conf: conf, budget: probebudget.New(), audit: probebudget.NewAudit()}
	p.targets.Store(&map[string]*target{})
	return p
}

// SetTargets replaces the upstreams that may be probed. The control goroutine
// calls it when the configuration changes. Upstreams without a probe budget are
// ignored.
func (p *Prober) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.targets.Load()
	next := make(map[string]*target, len(old))
	for address, t := range merge(targets) {
		if known := old[address]; known != nil && known.equal(t) {
			next[address] = known
		} else if p.configure(t, known) {
			next[address] = t
		}
	}
	for address := range old {
		if next[address] == nil && p.budget.Remove(address) {
			p.audit.Forget(address)
		}
	}
	p.targets.Store(&next)
	p.scanned, p.queue = time.Time{}, nil
}

// configure sets up a target that is new or has changed. It returns false if the target
// must not be probed.
func (p *Prober) configure(t, known *target) bool {
	if err := t.Plan.Validate(); err != nil {
		p.emit(event.Event{Code: event.BudgetRejected, Upstream: t.Upstream, Detail: err.Error()})
		return false
	}
	if !t.Plan.Enabled() {
		return false
	}
	// Configure only returns an error for an invalid plan, and this one was validated.
	_ = p.budget.Configure(clock.Now(), t.Address, t.Plan)
	if known == nil {
		p.budget.Stagger(t.Address, rand.N(t.Plan.Window()))
	} else {
		t.reported.Store(known.reported.Load())
		t.rest.Merge(&known.rest)
	}
	return true
}

// RecordReport records that a response of the server at an address included a load report.
// It is called on goroutines that serve requests, and takes no lock.
func (p *Prober) RecordReport(address string, now time.Time) {
	if t := (*p.targets.Load())[address]; t != nil {
		t.reported.Store(now.UnixNano())
	}
}

// SetBackoff records that the server at an address has requested a backoff until the given time.
// It is called on goroutines that serve requests, and takes no lock.
func (p *Prober) SetBackoff(address string, until time.Time) {
	if t := (*p.targets.Load())[address]; t != nil {
		t.rest.Extend(until)
	}
}

// Counters returns the probe counts of the server at an address, for metrics.
func (p *Prober) Counters(address string) probebudget.Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Counters(address)
}

// Run sends probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if t, g, ok := p.next(clock.Now()); ok {
			go p.probe(ctx, t, g)
		}
	}
}

// probe sends one probe and settles its grant.
func (p *Prober) probe(ctx context.Context, t *target, g probebudget.Grant) {
	ctx, cancel := context.WithTimeout(ctx, p.conf.Timeout)
	defer cancel()
	sent := clock.Now()
	if !p.allowed(sent, t) {
		p.settle(t, g, 0, probebudget.NotSent)
		return
	}
	p.emit(event.Event{Code: event.ProbeSent, Upstream: t.Upstream, Value: int64(g.Cost)})
	resp, err := p.conf.Sender.Do(ctx, t.Via, p.request(t))
	received := clock.Now()
	took := min(received.Sub(sent), p.conf.Timeout)
	p.settle(t, g, took, outcome(err))
	if over := took - g.Cost; over > 0 {
		p.emit(event.Event{Code: event.ProbeOverran, Upstream: t.Upstream, Value: int64(over)})
	}
	if err != nil {
		p.emit(event.Event{Code: event.ProbeFailed, Upstream: t.Upstream, Reason: err.Kind.String(), Detail: err.Error(), Value: int64(took)})
		return
	}
	p.report(t, resp, sent, received)
}

// allowed audits the interval since the last probe. If it returns false, an invariant is
// violated.
func (p *Prober) allowed(now time.Time, t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	violation := p.audit.Send(now, t.Address, t.Plan)
	if violation == nil {
		return true
	}
	p.emit(event.Event{Code: event.ProbeOverBudget, Upstream: t.Upstream, Value: int64(violation.Early)})
	return false
}

func (p *Prober) settle(t *target, g probebudget.Grant, took time.Duration, o probebudget.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.budget.Settle(clock.Now(), g, took, o) {
		p.emit(event.Event{Code: event.GrantNotOpen, Upstream: t.Upstream})
	}
}

// outcome returns the outcome of a probe that ended with err.
func outcome(err *errkind.Error) probebudget.Outcome {
	switch {
	case err == nil:
		return probebudget.Answered
	case err.Kind.Answer().Outcome == errkind.NotRun && err.Kind != errkind.UpstreamRefused:
		return probebudget.NotSent
	default:
		return probebudget.Abandoned
	}
}

func (p *Prober) request(t *target) *httpwire.Request {
	return &httpwire.Request{
		Method: http.MethodGet,
		Target: p.conf.Path,
		Path:   p.conf.Path,
		Host:   upstream.TargetAddress(t.Address),
		Header: http.Header{"User-Agent": {"dapplespindle-probe"}},

		LoadQuery: true,
	}
}

func (p *Prober) report(t *target, resp *httpwire.Response, sent, received time.Time) {
	if p.applyBackoff(t, resp, received) {
		return
	}
	active, err := strconv.Atoi(resp.Header.Get(HeaderLoad))
	if err != nil || active < 0 {
		p.emit(event.Event{Code: event.ProbeFailed, Upstream: t.Upstream, Reason: "no-load-header", Value: int64(received.Sub(sent))})
		return
	}
	t.reported.Store(received.UnixNano())
	p.emit(event.Event{Code: event.ProbeAnswered, Upstream: t.Upstream, Value: int64(active)})
	p.conf.Report(Report{Address: t.Address, Upstreams: t.ids, Active: active, Sent: sent, Received: received})
}

// applyBackoff records the backoff period that a response requests, and reports whether it
// requests one.
func (p *Prober) applyBackoff(t *target, resp *httpwire.Response, received time.Time) bool {
	if p.conf.ParseBackoff == nil {
		return false
	}
	d, err := p.conf.ParseBackoff(resp.Status, resp.Header)
	if err != nil {
		p.emit(event.Event{Code: event.RestUnreadable, Upstream: t.Upstream, Detail: err.Error()})
	}
	if d == 0 {
		return false
	}
	p.emit(event.Event{Code: event.RestAsked, Upstream: t.Upstream, Reason: "probe", Value: d.Milliseconds()})
	p.conf.OnBackoff(t.Address, t.rest.Begin(received, d, rand.Uint64()))
	return true
}

func (p *Prober) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = p.conf.EntryHost
	p.conf.Events.Emit(e)
}

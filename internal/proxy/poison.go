package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// This file keeps a request under which upstreams end away from the others. Without it
// one look-up, asked nine times a second at any of four hosts, ended 51 upstreams in six
// seconds, and 91 of 148 other look-ups were served; with it 3 ended, and all 148 were
// served (eight upstreams that come back after 0.7 s; test of the platform's adapter).

// ConnectionChecker is what a Sender may be besides: it tells an upstream that ended from one
// that only closed a connection.
type ConnectionChecker interface {
	// RefusesConnections reports whether connections to address are refused, so that no process
	// listens there. Silence says nothing.
	RefusesConnections(ctx context.Context, address string) bool
}

// PoisonNotifier tells the other entry hosts what this one saw. Its methods are called on
// goroutines of their own.
type PoisonNotifier interface {
	// NotifyCrash tells of an end of an upstream.
	NotifyCrash(d poison.Crash)
	// NotifyAnswer tells that a request under which upstreams ended was answered.
	NotifyAnswer(f poison.Fingerprint)
}

// WithPoisonNews tells the other hosts through n.
func WithPoisonNews(n PoisonNotifier) Option { return func(p *Proxy) { p.poison.news = n } }

// poisoned is what a proxy knows of requests under which upstreams end.
type poisoned struct {
	table     *poison.Table
	news      PoisonNotifier // nil for a host that has no others
	examining atomic.Int64   // upstreams that are being looked at
}

const (
	// examineTimeout bounds finding out whether an upstream ended. Round trips are below
	// 10 ms; a host that is down says nothing, which proves nothing of the request.
	examineTimeout = 250 * time.Millisecond
	// examineWait is how long the request waits for that before it may be sent again: one
	// end less of each request that is refused. Usually it is a round trip.
	examineWait = 20 * time.Millisecond
	// maxExamining bounds the upstreams looked at at the same time. Where more sends than
	// that break together, no single request is the cause.
	maxExamining = 64
)

// Why a quarantine began, as events state it.
const (
	quarantineSeen  = "seen-here"
	quarantineHeard = "heard-of"
)

// ApplyPeerCrashes takes in what another host tells of ends of upstreams, and of requests that were
// answered. It may be called on any goroutine.
func (p *Proxy) ApplyPeerCrashes(died []poison.Crash, answered []poison.Fingerprint) {
	now := clock.Now()
	for _, d := range died {
		p.died(now, d, quarantineHeard)
	}
	for _, f := range answered {
		if _, lifted := p.poison.table.RecordAnswer(now, f); lifted {
			p.quarantineEnded(f)
		}
	}
}

// RecentCrashes returns what a host that missed it should hear of.
func (p *Proxy) RecentCrashes(now time.Time, within time.Duration) []poison.Crash {
	return p.poison.table.RecentCrashes(now, within)
}

// died takes in an end, and reports whether it was not known.
func (p *Proxy) died(now time.Time, d poison.Crash, reason string) bool {
	news := p.poison.table.RecordCrash(now, d)
	if news.NewlyRefused {
		p.events.Emit(event.Event{
			Code: event.QuarantineBegun, At: time.Now(), EntryHost: p.host, Reason: reason,
			Detail: d.Request.String() + " until " + clock.Wall(news.RefusedUntil).UTC().Format(time.RFC3339), Value: int64(news.Crashes),
		})
	}
	return news.New
}

func (p *Proxy) quarantineEnded(f poison.Fingerprint) {
	p.events.Emit(event.Event{Code: event.QuarantineEnded, At: time.Now(), EntryHost: p.host, Detail: f.String()})
}

// examine finds out whether the request's upstream ended while it ran it.
func (x *exchange) examine(ctx context.Context, b binding, start time.Time, err *errkind.Error) {
	p := x.proxy
	if err == nil || err.Kind != errkind.UpstreamBroken || ctx.Err() != nil || p.listeners == nil {
		return
	}
	if p.poison.examining.Add(1) > maxExamining {
		p.poison.examining.Add(-1)
		return
	}
	d := poison.Crash{
		Request:  x.fingerprint(),
		Upstream: poison.Hash(x.state.group.owner, b.upstream.ID),
		Host:     poison.Hash(p.host, p.prefix),
		SentAt:   start,
		EndedAt:  clock.Now(),
	}
	known := make(chan struct{})
	go func() {
		defer p.poison.examining.Add(-1)
		ended := x.upstreamEnded(b, d)
		close(known)
		if ended && p.poison.news != nil {
			p.poison.news.NotifyCrash(d)
		}
	}()
	select {
	case <-known:
	case <-time.After(examineWait):
	}
}

// upstreamEnded looks whether an upstream ended, and remembers and reports it. The request
// may have been answered by then, so that the event is not one of its own.
func (x *exchange) upstreamEnded(b binding, d poison.Crash) bool {
	p := x.proxy
	ctx, cancel := context.WithTimeout(context.Background(), examineTimeout)
	defer cancel()
	if !p.listeners.RefusesConnections(ctx, b.upstream.Address) {
		return false
	}
	p.events.Emit(event.Event{
		Code: event.UpstreamEnded, At: clock.Wall(d.EndedAt), EntryHost: p.host,
		Service: x.rule.Service.Name, Rule: x.rule.Config.Name, Upstream: b.upstream.ID,
		Detail: "request " + x.id + " is " + d.Request.String(), Value: d.EndedAt.Sub(d.SentAt).Microseconds(),
	})
	return p.died(clock.Now(), d, quarantineSeen)
}

// fingerprint names the request by what it asks for, and the caller by its IP.
func (x *exchange) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(x.req.Method, x.rule.Service.Name, x.req.Target, x.req.Body, callerIP(x.req.RemoteAddr))
}

// quarantined refuses a request under which upstreams end.
func (x *exchange) quarantined() *errkind.Error {
	if x.quarantineLeft() == 0 {
		return nil
	}
	return errkind.New(errkind.Quarantined, "upstreams ended while they ran it")
}

// suspect reports whether an upstream ended under the request.
func (x *exchange) suspect() bool {
	table := x.proxy.poison.table
	return table.HasSuspect(x.rule.Service.Name, x.req.Target) && table.CrashCount(x.fingerprint()) > 0
}

// quarantineLeft is how much longer the request is refused; 0 if it is not.
func (x *exchange) quarantineLeft() time.Duration {
	table := x.proxy.poison.table
	if !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return 0
	}
	now := clock.Now()
	until := table.RefusedUntil(now, x.fingerprint())
	return max(until.Sub(now), 0)
}

// answered takes in an answer: an upstream ran the request and lives. One that says
// that the upstream failed, such as at the deadline, says nothing of a whole run.
func (x *exchange) answered(r result) {
	table := x.proxy.poison.table
	if r.err != nil || r.resp.Status >= http.StatusInternalServerError || !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return
	}
	now := clock.Now()
	f := x.fingerprint()
	tell, lifted := table.RecordAnswer(now, f)
	if lifted {
		x.proxy.quarantineEnded(f)
	}
	if tell && x.proxy.poison.news != nil {
		go x.proxy.poison.news.NotifyAnswer(f)
	}
}

package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// This file quarantines requests that crash upstreams. Without quarantine, one lookup sent
// nine times a second to any of four hosts crashed upstreams 51 times in six seconds, and
// 91 of 148 other lookups were served; with it there were 3 crashes, and all 148 were
// served (eight upstreams that restart within 0.7 s; a test of the platform adapter).

// ConnectionChecker is an optional interface of a Sender. It distinguishes an upstream that
// crashed from one that only closed a connection.
type ConnectionChecker interface {
	// RefusesConnections reports whether connections to address are refused, which means that
	// no process listens there. It returns false if there is no reply at all.
	RefusesConnections(ctx context.Context, address string) bool
}

// PoisonNotifier notifies the other entry hosts of crashes and responses that this host
// observed. Each call is made on its own goroutine.
type PoisonNotifier interface {
	// NotifyCrash reports a crash of an upstream.
	NotifyCrash(d poison.Crash)
	// NotifyAnswer reports that a request that had crashed upstreams got a response.
	NotifyAnswer(f poison.Fingerprint)
}

// WithPoisonNotifier notifies the other hosts through n.
func WithPoisonNotifier(n PoisonNotifier) Option { return func(p *Proxy) { p.poison.notifier = n } }

// poisonState holds what a proxy knows about requests that crash upstreams.
type poisonState struct {
	table       *poison.Table
	notifier    PoisonNotifier // nil if there are no other hosts
	crashChecks atomic.Int64   // crash checks in progress
	abandoned   abandonedSends // attempts under which upstreams may still crash
}

const (
	// crashCheckTimeout bounds the check whether an upstream crashed. Round trips are below
	// 10 ms. A machine that is down does not reply, which proves nothing about the request.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckWait is how long the request waits for the check before it may be sent again,
	// which saves one crash for each request that is then refused. The check usually takes
	// one round trip.
	crashCheckWait = 20 * time.Millisecond
	// maxCrashChecks bounds the concurrent checks. If more attempts than that break at the
	// same time, no single request is the cause.
	maxCrashChecks = 64
)

// Event reasons for the start of a quarantine: of the request of one caller, after a crash that this
// host saw or learned of, or of the request whoever sends it.
const (
	quarantineDetectedHere   = "seen-here"
	quarantineReportedByPeer = "heard-of"
	quarantineOfAnyCaller    = "any-caller"
)

// Event reasons for the crash of an upstream: it was running the request, or the request had been
// abandoned shortly before.
const (
	crashInFlight     = "in-flight"
	crashAfterAbandon = "abandoned"
)

// ApplyPeerCrashes applies another host's reports of upstream crashes, and of suspect
// requests that got a response. It may be called on any goroutine.
func (p *Proxy) ApplyPeerCrashes(crashes []poison.Crash, answered []poison.Fingerprint) {
	now := clock.Now()
	for _, d := range crashes {
		isNew := p.recordCrash(now, d, quarantineReportedByPeer)
		if address := p.poison.abandoned.addressOf(d.Upstream); isNew && address != "" {
			p.UpstreamLost(address)
		}
	}
	for _, f := range answered {
		if _, lifted := p.poison.table.RecordAnswer(now, f); lifted {
			p.quarantineEnded(f)
		}
	}
}

// RecentCrashes returns the crashes to report to a host that missed them.
func (p *Proxy) RecentCrashes(now time.Time, within time.Duration) []poison.Crash {
	return p.poison.table.RecentCrashes(now, within)
}

// QuarantineEvidence returns crashes that make another host refuse what this one refuses; see
// poison.Table.Evidence.
func (p *Proxy) QuarantineEvidence(now time.Time) [][]poison.Crash {
	return p.poison.table.Evidence(now)
}

// recordCrash records a crash and reports whether it was new.
func (p *Proxy) recordCrash(now time.Time, d poison.Crash, reason string) bool {
	result := p.poison.table.RecordCrash(now, d)
	if result.NewlyRefused {
		p.quarantineBegun(poison.Quarantine{Request: d.Request, Until: result.RefusedUntil, Crashes: result.Crashes}, reason)
	}
	return result.New
}

// AnnounceQuarantines emits an event for each request that is refused since the last call whoever sends
// it. The control goroutine calls it every gossip.RepeatInterval.
func (p *Proxy) AnnounceQuarantines(now time.Time) {
	for _, q := range p.poison.table.Begun(now) {
		p.quarantineBegun(q, quarantineOfAnyCaller)
	}
}

func (p *Proxy) quarantineBegun(q poison.Quarantine, reason string) {
	p.events.Emit(event.Event{
		Code: event.QuarantineBegun, At: time.Now(), EntryHost: p.host, Reason: reason,
		Detail: q.Request.String() + " until " + clock.ToWall(q.Until).UTC().Format(time.RFC3339), Value: int64(q.Crashes),
	})
}

func (p *Proxy) quarantineEnded(f poison.Fingerprint) {
	p.events.Emit(event.Event{Code: event.QuarantineEnded, At: time.Now(), EntryHost: p.host, Detail: f.String()})
}

// detectCrash checks whether the upstream crashed while it ran the request.
func (x *exchange) detectCrash(ctx context.Context, b binding, start time.Time, err *errkind.Error) {
	p := x.proxy
	if err == nil || err.Kind != errkind.UpstreamBroken || ctx.Err() != nil || p.connChecker == nil {
		return
	}
	if p.poison.crashChecks.Add(1) > maxCrashChecks {
		p.poison.crashChecks.Add(-1)
		return
	}
	d := x.crashOf(b, start)
	d.EndedAt = clock.Now()
	checked := make(chan struct{})
	go func() {
		defer p.poison.crashChecks.Add(-1)
		crashed := x.confirmCrash(b, d)
		close(checked)
		if crashed && p.poison.notifier != nil {
			p.poison.notifier.NotifyCrash(d)
		}
	}()
	select {
	case <-checked:
	case <-time.After(crashCheckWait):
	}
}

// crashOf returns a crash of the upstream under an attempt that was sent at the given time, without
// EndedAt.
func (x *exchange) crashOf(b binding, sentAt time.Time) poison.Crash {
	return poison.Crash{
		Request:  x.fingerprint(),
		Upstream: poison.Hash(x.state.group.serviceName, b.upstream.ID),
		Host:     poison.Hash(x.proxy.host, x.proxy.prefix),
		SentAt:   sentAt,
	}
}

// upstreamEnded returns the event of a crash, without At and Value.
func (x *exchange) upstreamEnded(b binding, d poison.Crash, reason string) event.Event {
	return event.Event{
		Code: event.UpstreamEnded, EntryHost: x.proxy.host, Reason: reason,
		Service: x.rule.Service.Name, Rule: x.rule.Config.Name, Upstream: b.upstream.ID,
		Detail: "request " + x.id + " is " + d.Request.String(),
	}
}

func (p *Proxy) emitUpstreamEnded(e event.Event, d poison.Crash) {
	e.At = clock.ToWall(d.EndedAt)
	e.Value = d.EndedAt.Sub(d.SentAt).Microseconds()
	p.events.Emit(e)
}

// confirmCrash checks whether an upstream crashed, and records and reports the crash. The
// request may have ended by then, so the event is not emitted through the exchange.
func (x *exchange) confirmCrash(b binding, d poison.Crash) bool {
	p := x.proxy
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if p.isEndExpected(x.upstreamKey(b)) || !p.connChecker.RefusesConnections(ctx, b.upstream.Address) {
		return false
	}
	p.emitUpstreamEnded(x.upstreamEnded(b, d, crashInFlight), d)
	p.reportAbandoned(b.upstream.Address, d.EndedAt)
	return p.recordCrash(clock.Now(), d, quarantineDetectedHere)
}

// isEndExpected reports whether the end of an upstream shows nothing about the requests that it ran: it
// had announced that it is leaving, or its registration had ended.
func (p *Proxy) isEndExpected(k lifecycle.UpstreamKey) bool {
	if p.upstreams == nil {
		return false
	}
	view, found := p.upstreams.Snapshot().View(k)
	return !found || view.Leaving
}

// fingerprint identifies the request by its content and the caller by its IP.
func (x *exchange) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(x.req.Method, x.rule.Service.Name, x.req.Target, x.req.Body, callerIP(x.req.RemoteAddr))
}

// quarantined returns an error if the request is quarantined because it crashes upstreams.
func (x *exchange) quarantined() *errkind.Error {
	if x.quarantineLeft() == 0 {
		return nil
	}
	return errkind.New(errkind.Quarantined, "upstreams ended while they ran it")
}

// isSuspect reports whether an upstream crashed while running the request, for this caller or, since
// it was last answered, for any.
func (x *exchange) isSuspect() bool {
	table := x.proxy.poison.table
	if !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return false
	}
	f := x.fingerprint()
	return table.CrashCount(f) > 0 || table.CrashesSinceAnswer(f) > 0
}

// reportSuspectSent reports that the request is sent although as many upstreams crashed under it, for
// any caller, as the quarantine of one caller's request takes.
func (x *exchange) reportSuspectSent(b binding) {
	table := x.proxy.poison.table
	if !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return
	}
	f := x.fingerprint()
	if n := table.CrashesSinceAnswer(f); n >= poison.MinCrashes {
		x.emit(event.Event{Code: event.SuspectSent, Upstream: b.upstream.ID, Attempt: b.number, Detail: f.String(), Value: int64(n)})
	}
}

// quarantineLeft returns how much longer the request is refused, or 0 if it is not.
func (x *exchange) quarantineLeft() time.Duration {
	table := x.proxy.poison.table
	if !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return 0
	}
	now := clock.Now()
	until := table.RefusedUntil(now, x.fingerprint())
	return max(until.Sub(now), 0)
}

// recordResponse records that an upstream ran the request without crashing. A response with
// a server error, for example at the deadline, does not show that the request ran to
// completion.
func (x *exchange) recordResponse(r result) {
	table := x.proxy.poison.table
	if r.err != nil || r.resp.Status >= http.StatusInternalServerError || !table.HasSuspect(x.rule.Service.Name, x.req.Target) {
		return
	}
	now := clock.Now()
	f := x.fingerprint()
	notify, lifted := table.RecordAnswer(now, f)
	if lifted {
		x.proxy.quarantineEnded(f)
	}
	if notify && x.proxy.poison.notifier != nil {
		go x.proxy.poison.notifier.NotifyAnswer(f)
	}
}

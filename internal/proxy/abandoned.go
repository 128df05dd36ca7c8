package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// This file connects the crash of an upstream with attempts that this host had abandoned: their
// callers had left, or their deadlines had passed, and the upstream was still running them.

const (
	// minAbandonedWindow and maxAbandonedWindow bound how long after an attempt was abandoned a
	// crash of its upstream is connected with it. Upstreams stop within half a second of the end
	// of the connection; those that do not notice it run the request for its usual time.
	minAbandonedWindow = 500 * time.Millisecond
	maxAbandonedWindow = 5 * time.Second
	// usualTimeQuantile is the quantile of the latency taken as the usual time.
	usualTimeQuantile = 0.99
	// maxAbandonedSends bounds the attempts that are remembered, at some 400 bytes each. An entry
	// host that serves some hundred requests a second has as many in the time above.
	maxAbandonedSends = 256
)

// abandonedSend is an attempt that was abandoned after it was sent.
type abandonedSend struct {
	// crash is what to record if the upstream crashes, without EndedAt.
	crash poison.Crash
	// event is what to emit then, without At and Value.
	event event.Event
	// key and address are those of the upstream.
	key     lifecycle.UpstreamKey
	address string
	// until is the time until which a crash is connected with the attempt.
	until time.Time
}

// abandonedSends holds the attempts that were abandoned recently, oldest first. It is safe for
// concurrent use.
type abandonedSends struct {
	mu       sync.Mutex
	sends    []abandonedSend
	checking map[string]bool // addresses for which a crash check is in progress
}

// add remembers an attempt. If there are too many, it replaces the oldest one.
func (a *abandonedSends) add(now time.Time, s abandonedSend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if len(a.sends) >= maxAbandonedSends {
		a.sends = slices.Delete(a.sends, 0, 1)
	}
	a.sends = append(a.sends, s)
}

func (a *abandonedSends) expire(now time.Time) {
	a.sends = slices.DeleteFunc(a.sends, func(s abandonedSend) bool { return now.After(s.until) })
}

// startCheck reports whether a crash check of the upstream at address is due, and records that it
// begins. The caller must call endCheck.
func (a *abandonedSends) startCheck(now time.Time, address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.sends) == 0 {
		return false
	}
	a.expire(now)
	known := slices.ContainsFunc(a.sends, func(s abandonedSend) bool { return s.address == address })
	if !known || a.checking[address] {
		return false
	}
	if a.checking == nil {
		a.checking = make(map[string]bool)
	}
	a.checking[address] = true
	return true
}

func (a *abandonedSends) endCheck(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.checking, address)
}

// take removes and returns the attempts at an upstream.
func (a *abandonedSends) take(address string) []abandonedSend {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []abandonedSend
	a.sends = slices.DeleteFunc(a.sends, func(s abandonedSend) bool {
		if s.address == address {
			out = append(out, s)
		}
		return s.address == address
	})
	return out
}

// addressOf returns the address of an upstream at which there are attempts, given the ID that
// hosts use in their reports; empty if there are none.
func (a *abandonedSends) addressOf(upstream uint64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sends {
		if s.crash.Upstream == upstream {
			return s.address
		}
	}
	return ""
}

// recordAbandoned remembers an attempt that was sent and then abandoned.
func (x *exchange) recordAbandoned(ctx context.Context, b binding, start time.Time, err *errkind.Error) {
	p := x.proxy
	if p.connChecker == nil || !isAbandoned(ctx, err) {
		return
	}
	now := clock.Now()
	window := min(max(x.state.latency.Quantile(usualTimeQuantile), minAbandonedWindow), maxAbandonedWindow)
	crash := x.crashOf(b, start)
	p.poison.abandoned.add(now, abandonedSend{
		crash:   crash,
		event:   x.upstreamEnded(b, crash, crashAfterAbandon),
		key:     x.upstreamKey(b),
		address: b.upstream.Address,
		until:   now.Add(window),
	})
	p.watchUpstream(b.upstream.Address)
}

// ConnectionKeeper is an optional interface of a Sender. With it, the crash of an upstream is noticed
// without a request in flight there.
type ConnectionKeeper interface {
	// KeepConnection opens a connection to address if there is none, and keeps it until it has
	// been idle for too long. It does not block.
	KeepConnection(address string)
}

// watchUpstream makes sure that UpstreamLost is called when the upstream at address crashes. The
// connection of an abandoned attempt was closed, and it may have been the only one.
func (p *Proxy) watchUpstream(address string) {
	if k, ok := p.sender.(ConnectionKeeper); ok {
		k.KeepConnection(address)
	}
}

// isAbandoned reports whether an attempt ended because its caller left or its deadline passed, after
// it was sent. A hedge that another response made superfluous does not count.
func isAbandoned(ctx context.Context, err *errkind.Error) bool {
	switch {
	case err == nil, context.Cause(ctx) == errOtherResponse:
		return false
	default:
		return err.Kind == errkind.CallerGone || err.Kind == errkind.DeadlineAfterSend
	}
}

// UpstreamLost is called when a connection to an upstream closed or was refused. If attempts there
// were abandoned recently, it checks whether the upstream crashed under them. It does not block, and
// may be called on any goroutine.
func (p *Proxy) UpstreamLost(address string) {
	lostAt := clock.Now()
	if !p.poison.abandoned.startCheck(lostAt, address) {
		return
	}
	go func() {
		defer p.poison.abandoned.endCheck(address)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if p.connChecker.RefusesConnections(ctx, address) {
			p.reportAbandoned(address, lostAt)
			return
		}
		p.watchUpstream(address)
	}()
}

// reportAbandoned records and reports that an upstream crashed at the given time under abandoned
// attempts.
func (p *Proxy) reportAbandoned(address string, endedAt time.Time) {
	for _, s := range p.poison.abandoned.take(address) {
		if endedAt.Before(s.crash.SentAt) || endedAt.After(s.until) || p.isEndExpected(s.key) {
			continue
		}
		s.crash.EndedAt = endedAt
		p.emitUpstreamEnded(s.event, s.crash)
		if p.recordCrash(clock.Now(), s.crash, quarantineDetectedHere) && p.poison.notifier != nil {
			p.poison.notifier.NotifyCrash(s.crash)
		}
	}
}

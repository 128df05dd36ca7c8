package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// This file borrows extra attempts from the retry budgets of other hosts, and lends them.

// RetryBorrower borrows extra attempts from other hosts.
type RetryBorrower interface {
	// BorrowRetry asks one host for an extra attempt to a registered service. It reports
	// whether the host has lent one, and returns within some tens of milliseconds.
	BorrowRetry(ctx context.Context, service string) bool
}

// WithRetryBorrower borrows extra attempts through b when a service's budget is exhausted.
func WithRetryBorrower(b RetryBorrower) Option { return func(p *Proxy) { p.retryBorrower = b } }

// borrowRetry asks another host for an extra attempt, and reports whether it has lent one. The
// lender has counted it; this host's budget does not. Hedges do not borrow: the response to the
// first attempt would wait for the other host.
func (x *exchange) borrowRetry(ctx context.Context) bool {
	g, p := x.state.group, x.proxy
	if p.retryBorrower == nil || g.budget == nil || !g.budget.Exhausted() {
		return false
	}
	if now := clock.Now(); g.borrowPause.Active(now) || !p.borrowLimit.Allow(now) {
		return false
	}
	if !p.retryBorrower.BorrowRetry(ctx, g.serviceName) {
		if ctx.Err() == nil { // otherwise the caller has disconnected, and nothing was refused
			g.borrowPause.Refused(clock.Now())
		}
		return false
	}
	x.emit(event.Event{Code: event.RetryBorrowed, Attempt: x.sent})
	return true
}

// LendRetry withdraws an extra attempt to a registered service for another host. It reports
// whether this host can spare one.
func (p *Proxy) LendRetry(service string) bool {
	s := p.state.Load()
	if s == nil {
		return false
	}
	g := s.groups[groupName{group: service}]
	if g == nil || !g.budget.Lend() {
		return false
	}
	p.events.Emit(event.Event{Code: event.RetryLent, At: time.Now(), EntryHost: p.host, Service: service, Value: g.budget.Remaining()})
	return true
}

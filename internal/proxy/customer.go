package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// This file identifies the customer of a request and enforces customer quotas.

// Quotas enforces the customers' quotas over all entry hosts. Its methods are called on the
// goroutines that serve requests.
type Quotas interface {
	// Take takes quota for one request of a customer. If none is left, wait is the time
	// until some may be available. It returns early when ctx ends.
	Take(ctx context.Context, c *config.Customer) (wait time.Duration, ok bool)
	// Return returns the quota of a request that did not run.
	Return(c *config.Customer)
}

// WithQuotas enforces quotas through q. Without it, requests are not limited.
func WithQuotas(q Quotas) Option { return func(p *Proxy) { p.quotas = q } }

// WithKeysCurrent refuses requests with a key while known returns false, which means that
// this host may have missed a revocation. Known is called on the goroutines that serve
// requests.
func WithKeysCurrent(known func() bool) Option { return func(p *Proxy) { p.keysKnown = known } }

// caller is the origin of a request.
type caller struct {
	customer   *config.Customer // nil without a key
	key        config.KeyDigest
	quotaWait  time.Duration // until quota may be available, from Quotas.Take
	holdsQuota bool          // quota was taken and not returned
}

// identify finds the customer by the request's key. Upstreams get the customer's name, but
// not the key.
func (x *exchange) identify(t *routing.Table) *errkind.Error {
	d := x.proxy.dialect
	if t.Customers == nil || d.Key == "" {
		return nil
	}
	keys := x.req.Header[d.Key]
	delete(x.req.Header, d.Key)
	delete(x.req.Header, d.Customer)
	if len(keys) == 0 && x.rule.Service.Public {
		return nil
	}
	if len(keys) != 1 {
		return x.unknownKey(len(keys))
	}
	if x.proxy.keysKnown != nil && !x.proxy.keysKnown() {
		return errkind.New(errkind.NotReady, "keys may have been revoked unknown to this host")
	}
	key := config.DigestKey(keys[0])
	c := t.Customers.ByKey(key)
	switch {
	case c == nil && x.rule.Service.Public:
		return nil
	case c == nil:
		return x.unknownKey(len(keys))
	case c.Unserved != "":
		return errkind.New(errkind.CustomerUnserved, c.Unserved)
	}
	x.caller = caller{customer: c, key: key}
	x.req.Header[d.Customer] = []string{c.Name}
	return nil
}

// unknownKey returns the error for a request without a single valid key.
func (x *exchange) unknownKey(keys int) *errkind.Error {
	switch keys {
	case 0:
		return errkind.New(errkind.UnknownKey, "no key")
	case 1:
		return errkind.New(errkind.UnknownKey, "the key is not known")
	}
	return errkind.New(errkind.UnknownKey, "several keys")
}

// checkKeyValid returns an error if, while the request waited, its key was revoked or
// reassigned to another customer.
func (x *exchange) checkKeyValid() *errkind.Error {
	c := x.caller.customer
	if c == nil {
		return nil
	}
	t := x.proxy.state.Load().table
	if t.Revision == x.version || t.Customers == nil {
		return nil
	}
	now := t.Customers.ByKey(x.caller.key)
	switch {
	case now == nil:
		return errkind.New(errkind.UnknownKey, "the key was revoked")
	case now.Unserved != "":
		return errkind.New(errkind.CustomerUnserved, now.Unserved)
	case now.Name != c.Name:
		return errkind.New(errkind.UnknownKey, "the key was reassigned")
	}
	return nil
}

// takeQuota takes quota of the customer for this request.
func (x *exchange) takeQuota(ctx context.Context) *errkind.Error {
	c := x.caller.customer
	if c == nil || x.proxy.quotas == nil || c.RatePerSecond == 0 {
		return nil
	}
	wait, ok := x.proxy.quotas.Take(ctx, c)
	if ok {
		x.caller.holdsQuota = true
		return nil
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.CallerGone, "before send")
	}
	x.caller.quotaWait = wait
	x.emit(event.Event{Code: event.QuotaReached, Reason: c.Name, Value: wait.Milliseconds()})
	return errkind.New(errkind.QuotaExceeded, "customer "+c.Name)
}

// returnQuota returns the quota of a refused request that did not run.
func (x *exchange) returnQuota(answer errkind.Answer) {
	if x.caller.holdsQuota && answer.Outcome == errkind.NotRun {
		x.caller.holdsQuota = false
		x.proxy.quotas.Return(x.caller.customer)
	}
}

// priority returns the customer's priority, or the rule's if the customer has none.
func (x *exchange) priority() config.Priority {
	if c := x.caller.customer; c != nil && c.Priority != "" {
		return c.Priority
	}
	return x.rule.Config.Priority
}

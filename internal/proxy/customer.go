package proxy

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// This file finds the customer that a request belongs to, and keeps customers to their
// quotas.

// Quotas keeps the customers' requests to their quotas over all entry hosts. Its methods run
// on traffic goroutines.
type Quotas interface {
	// Take uses room for one request of a customer. If there is none, wait says when there
	// may be. It returns early when ctx ends.
	Take(ctx context.Context, c *config.Customer) (wait time.Duration, ok bool)
	// Return gives back room that was taken for a request which did not run.
	Return(c *config.Customer)
}

// WithQuotas keeps to quotas through q. Without it there are none.
func WithQuotas(q Quotas) Option { return func(p *Proxy) { p.quotas = q } }

// WithKeysKnown has requests with a key refused while known reports that keys may have been
// revoked of which this host does not know. It runs on traffic goroutines.
func WithKeysKnown(known func() bool) Option { return func(p *Proxy) { p.keysKnown = known } }

// caller is whose a request is.
type caller struct {
	customer   *config.Customer // nil without a key
	key        config.KeyDigest
	quotaWait  time.Duration // until there is room in the quota, as it said
	holdsQuota bool          // room of the quota
}

// identify finds the customer by the request's key, and has upstreams told its name alone.
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

// unknownKey refuses a request with a number of keys.
func (x *exchange) unknownKey(keys int) *errkind.Error {
	switch keys {
	case 0:
		return errkind.New(errkind.UnknownKey, "no key")
	case 1:
		return errkind.New(errkind.UnknownKey, "the key is not known")
	}
	return errkind.New(errkind.UnknownKey, "several keys")
}

// stillKnown refuses a request whose key was revoked, or went to another customer, while it
// waited.
func (x *exchange) checkKeyValid() *errkind.Error {
	c := x.caller.customer
	if c == nil {
		return nil
	}
	t := x.proxy.state.Load().table
	if t.Revision == x.version || t.Customers == nil {
		return nil
	}
	if now := t.Customers.ByKey(x.caller.key); now == nil || now.Name != c.Name {
		return errkind.New(errkind.UnknownKey, "the key was revoked")
	}
	return nil
}

// withinQuota takes room of the customer's quota.
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

// returnRoom gives back the room of a request that is refused and did not run.
func (x *exchange) returnQuota(answer errkind.Answer) {
	if x.caller.holdsQuota && answer.Outcome == errkind.NotRun {
		x.caller.holdsQuota = false
		x.proxy.quotas.Return(x.caller.customer)
	}
}

// priority is the customer's, or else the rule's.
func (x *exchange) priority() config.Priority {
	if c := x.caller.customer; c != nil && c.Priority != "" {
		return c.Priority
	}
	return x.rule.Config.Priority
}

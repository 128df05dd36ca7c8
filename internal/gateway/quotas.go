package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/quotas"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/quota"
)

const (
	// quotasEvery is how often what is unused of quotas is forgotten.
	quotasEvery = 10 * time.Second
	// overEvery is the pause between two lines about one customer that is over its quota.
	overEvery = 10 * time.Second
)

// roomPeers implements quotas.Peers over the hosts' datagrams.
type roomPeers struct {
	gateway *Gateway
}

// RequestQuota implements quotas.Peers.
func (p roomPeers) RequestQuota(ctx context.Context, host netip.AddrPort, q quotas.Request) (quota.Answer, bool) {
	f := p.gateway.fleet
	if f == nil {
		return quota.Answer{}, false
	}
	return f.news.RequestQuota(ctx, host, q)
}

// countedQuotas writes a line now and then about customers that are over their quotas.
type countedQuotas struct {
	*quotas.Enforcer
	events event.Sink

	mu   sync.Mutex
	over map[string]*overCount
}

type overCount struct {
	refused int64
	next    time.Time // of the next line
}

// Take implements proxy.Quotas.
func (q *countedQuotas) Take(ctx context.Context, c *config.Customer) (time.Duration, bool) {
	wait, ok := q.Enforcer.Take(ctx, c)
	if !ok && ctx.Err() == nil {
		q.refused(clock.Now(), c.Name)
	}
	return wait, ok
}

func (q *countedQuotas) refused(now time.Time, customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.over == nil {
		q.over = make(map[string]*overCount)
	}
	n := q.over[customer]
	if n == nil {
		n = new(overCount)
		q.over[customer] = n
	}
	n.refused++
	if now.Before(n.next) {
		return
	}
	q.events.Emit(event.Event{Code: event.CustomerOver, At: time.Now(), Reason: customer, Value: n.refused})
	n.refused, n.next = 0, now.Add(overEvery)
}

// quotaFleet gives the quotas the hosts of the fleet. It runs on the control goroutine.
func (f *fleet) quotaFleet(s *membership.Snapshot, settled bool) {
	out := quotas.Fleet{Known: len(s.Members), Converged: settled}
	out.Self = quota.Host{Address: f.newsAddress(f.address), FailureDomain: f.gateway.conf.FailureDomain}
	for _, h := range f.hosts(s) {
		if h.Address != out.Self.Address && !h.Leaving {
			out.Others = append(out.Others, quota.Host{Address: h.Address, FailureDomain: h.FailureDomain})
		}
	}
	f.gateway.quotas.SetFleet(out)
}

// quotaSeeds gives the quotas the hosts of the settings, until more are known.
func (f *fleet) quotaSeeds() {
	out := quotas.Fleet{Self: quota.Host{Address: f.newsAddress(f.address), FailureDomain: f.gateway.conf.FailureDomain}, Known: 1}
	for _, a := range f.seeds() {
		if a != f.address {
			out.Others = append(out.Others, quota.Host{Address: f.newsAddress(a)})
			out.Known++
		}
	}
	f.gateway.quotas.SetFleet(out)
}

// keysKnown reports whether this host knows all keys that were revoked, or need not.
func (g *Gateway) keysKnown() bool {
	within := g.keysKnownWithin.Load()
	return within == 0 || clock.Since(g.follower.AsOf()) <= time.Duration(within)
}

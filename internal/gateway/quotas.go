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
	// quotaTickInterval is how often unused quota state is discarded.
	quotaTickInterval = 10 * time.Second
	// overQuotaInterval is the least time between two events about one customer that is
	// over its quota.
	overQuotaInterval = 10 * time.Second
)

// quotaPeers implements quotas.Peers over the peer transport.
type quotaPeers struct {
	gateway *Gateway
}

// RequestQuota implements quotas.Peers.
func (p quotaPeers) RequestQuota(ctx context.Context, host netip.AddrPort, q quotas.Request) (quota.Answer, bool) {
	f := p.gateway.fleet
	if f == nil {
		return quota.Answer{}, false
	}
	return f.transport.RequestQuota(ctx, host, q)
}

// reportingQuotas emits rate-limited events about customers that are over their quotas.
type reportingQuotas struct {
	*quotas.Enforcer
	events event.Sink

	mu       sync.Mutex
	refusals map[string]*refusalCount
}

type refusalCount struct {
	refused    int64
	nextReport time.Time // earliest time of the next event
}

// Take implements proxy.Quotas.
func (q *reportingQuotas) Take(ctx context.Context, c *config.Customer) (time.Duration, bool) {
	wait, ok := q.Enforcer.Take(ctx, c)
	if !ok && ctx.Err() == nil {
		q.recordRefusal(clock.Now(), c.Name)
	}
	return wait, ok
}

func (q *reportingQuotas) recordRefusal(now time.Time, customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refusals == nil {
		q.refusals = make(map[string]*refusalCount)
	}
	n := q.refusals[customer]
	if n == nil {
		n = new(refusalCount)
		q.refusals[customer] = n
	}
	n.refused++
	if now.Before(n.nextReport) {
		return
	}
	q.events.Emit(event.Event{Code: event.CustomerOver, At: time.Now(), Reason: customer, Value: n.refused})
	n.refused, n.nextReport = 0, now.Add(overQuotaInterval)
}

// setQuotaFleet passes the hosts of the fleet to the quota enforcer. It runs on the
// control goroutine.
func (f *fleet) setQuotaFleet(s *membership.Snapshot, converged bool) {
	out := quotas.Fleet{Known: len(s.Members), Converged: converged, Leaving: s.Self.Leaving}
	out.Self, out.Seeds = f.quotaSelf(), f.quotaSeeds()
	for _, h := range f.hosts(s) {
		if h.Address != out.Self.Address && !h.Leaving {
			out.Others = append(out.Others, quota.Host{Address: h.Address, FailureDomain: h.FailureDomain})
		}
	}
	f.gateway.quotas.SetFleet(out)
}

// setQuotaSeeds passes the seed hosts of the settings to the quota enforcer, until more
// are known.
func (f *fleet) setQuotaSeeds() {
	out := quotas.Fleet{Self: f.quotaSelf(), Seeds: f.quotaSeeds(), Known: 1}
	for _, seed := range out.Seeds {
		if seed.Address != out.Self.Address {
			out.Others = append(out.Others, seed)
			out.Known++
		}
	}
	f.gateway.quotas.SetFleet(out)
}

// quotaSelf describes this host to the quota enforcer.
func (f *fleet) quotaSelf() quota.Host {
	return quota.Host{Address: f.transportAddress(f.address), FailureDomain: f.gateway.conf.FailureDomain}
}

// quotaSeeds returns the seed hosts of the settings, whose failure domains are not known.
func (f *fleet) quotaSeeds() []quota.Host {
	var out []quota.Host
	for _, a := range f.seeds() {
		out = append(out, quota.Host{Address: f.transportAddress(a)})
	}
	return out
}

// keysCurrent reports whether this host knows all revoked keys as of the staleness limit,
// or whether no limit is set.
func (g *Gateway) keysCurrent() bool {
	limit := g.maxKeyStaleness.Load()
	return limit == 0 || clock.Since(g.watcher.AsOf()) <= time.Duration(limit)
}

package proxy

import (
	"context"
	"testing"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// BenchmarkServe measures a request through the proxy with a Sender that responds at once:
// without budget and limiter, with them, and with a hedge timer as well.
func BenchmarkServe(b *testing.B) {
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return ok(), nil
	})
	hedged := lookup()
	hedged.Retry.HedgePercentile = 95
	bare := newProxy(service(10, lookup()), leastOutstanding, sender, event.Discard{})
	bare.newBudget = func(float64) *retry.Budget { return nil }
	bare.newLimiter = func(int) *limit.Limiter { return nil }
	bare.state.Store(bare.nextSnapshot(nil, bare.state.Load().table))
	for _, bm := range []struct {
		name string
		p    *Proxy
	}{
		{"without-parts", bare},
		{"with-parts", proxyFor(lookup(), sender)},
		{"with-parts-hedging-armed", proxyFor(hedged, sender)},
	} {
		b.Run(bm.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bm.p.Serve(b.Context(), request("GET"))
			}
		})
	}
}

func proxyFor(r config.Rule, sender Sender) *Proxy {
	return newProxy(service(10, r), leastOutstanding, sender, event.Discard{})
}

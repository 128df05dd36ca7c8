package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/peertransport"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// This file tells the other hosts what upstreams say of their limits, and asks them for
// turns.

// tellLimit tells all hosts what is now known of a limit.
func (g *Gateway) tellLimit(s *ratelimit.State) {
	if g.fleet == nil {
		return
	}
	if told, ok := s.Update(clock.Now()); ok {
		g.fleet.news.SendLimits(*g.fleet.others.Load(), []ratelimit.Update{told})
	}
}

// repeatLimits tells a few hosts what they may have missed, as much as one message holds.
func (g *Gateway) repeatLimits(now time.Time) {
	if g.fleet == nil {
		return
	}
	known := g.control.pools.limits.Updates(now)
	if len(known) == 0 {
		return
	}
	others := slices.Clone(*g.fleet.others.Load())
	g.fleet.news.SendLimits(gossip.Sample(others, gossip.RepeatFanOut, rand.IntN), gossip.Sample(known, peertransport.LimitsPerMessage, rand.IntN))
}

// heardLimits takes in what another host tells.
func (g *Gateway) heardLimits(told []ratelimit.Update) {
	now := clock.Now()
	for _, s := range g.control.pools.limits.ApplyPeerUpdates(now, told) {
		g.emit(proxy.LimitEvent(s.ID(), s.Limit(), ratelimit.Peer))
	}
}

// lenders implements proxy.SlotBorrower over the hosts' datagrams.
type lenders struct {
	gateway *Gateway
}

// Borrow implements proxy.SlotBorrower.
func (l lenders) Borrow(ctx context.Context, host int, server ratelimit.Server) bool {
	f := l.gateway.fleet
	if f == nil {
		return false
	}
	inTurn := *f.inTurn.Load()
	return host < len(inTurn) && inTurn[host].IsValid() && f.news.Borrow(ctx, inTurn[host], server)
}

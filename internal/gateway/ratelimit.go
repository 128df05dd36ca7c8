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

// This file sends the limits that upstreams announce to the other hosts, and borrows
// time slots from them.

// broadcastLimit sends the current state of a limit to all hosts.
func (g *Gateway) broadcastLimit(s *ratelimit.State) {
	if g.fleet == nil {
		return
	}
	if update, ok := s.Update(clock.Now()); ok {
		g.fleet.transport.SendLimits(*g.fleet.others.Load(), []ratelimit.Update{update})
	}
}

// rebroadcastLimits sends limits that hosts may have missed to a few of them, as many as
// fit into one message.
func (g *Gateway) rebroadcastLimits(now time.Time) {
	if g.fleet == nil {
		return
	}
	known := g.control.pools.limits.Updates(now)
	if len(known) == 0 {
		return
	}
	others := slices.Clone(*g.fleet.others.Load())
	g.fleet.transport.SendLimits(gossip.Sample(others, gossip.RepeatFanOut, rand.IntN), gossip.Sample(known, peertransport.LimitsPerMessage, rand.IntN))
}

// applyPeerLimits applies the limits in another host's update.
func (g *Gateway) applyPeerLimits(updates []ratelimit.Update) {
	now := clock.Now()
	for _, s := range g.control.pools.limits.ApplyPeerUpdates(now, updates) {
		g.emit(proxy.LimitEvent(s.ID(), s.Limit(), ratelimit.Peer))
	}
}

// slotBorrower implements proxy.SlotBorrower over the peer transport.
type slotBorrower struct {
	gateway *Gateway
}

// Borrow implements proxy.SlotBorrower.
func (b slotBorrower) Borrow(ctx context.Context, host int, server ratelimit.Server) bool {
	f := b.gateway.fleet
	if f == nil {
		return false
	}
	order := *f.slotOrder.Load()
	return host < len(order) && order[host].IsValid() && f.transport.Borrow(ctx, order[host], server)
}

package entry

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/prober"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// The methods in this file implement proxy.Upstreams. Traffic goroutines call
// them; news goes to the control goroutine over its queue.

// Snapshot implements proxy.Upstreams.
func (c *controller) Snapshot() *lifecycle.Snapshot { return c.snapshot.Load() }

// Leaving implements proxy.Upstreams.
func (c *controller) Leaving(k lifecycle.UpstreamKey, activation uint64) {
	if c.snapshot.Load().Leaving(k) {
		return
	}
	c.entry.loop.Post(func() {
		c.registry.RecordLeaving(clock.Now(), k, activation)
		c.publishSoon()
	})
}

// ConnectFailed implements proxy.Upstreams.
func (c *controller) ConnectFailed(k lifecycle.UpstreamKey) {
	c.entry.loop.Post(func() {
		c.registry.ConnectFailed(clock.Now(), k)
		c.publishSoon()
	})
}

// ConnectSucceeded implements proxy.Upstreams.
func (c *controller) ConnectSucceeded(k lifecycle.UpstreamKey) {
	c.entry.loop.Post(func() {
		c.registry.ConnectSucceeded(clock.Now(), k)
		c.publishSoon()
	})
}

// BackingOff implements proxy.Upstreams. The server may stand in several groups, and is probed.
func (c *controller) BackingOff(u *balancer.Upstream, until time.Time) {
	address := upstream.TargetAddress(u.Address)
	c.entry.prober.SetBackoff(address, until)
	c.rested(address, until)
}

// rested tells the groups that list the server at an address until when it rests.
func (c *controller) rested(address string, until time.Time) {
	c.entry.loop.Post(func() { c.groups.rest(address, until) })
}

// LimitChanged implements proxy.Upstreams.
func (c *controller) LimitChanged(u *balancer.Upstream) { c.entry.limits.Broadcast(u.Limit) }

// Reported implements proxy.Upstreams.
func (c *controller) Reported(address string, now time.Time) {
	c.entry.prober.RecordReport(upstream.TargetAddress(address), now)
}

// Resuming implements proxy.Upstreams. It notices a pause before the control
// goroutine has run again.
func (c *controller) Resuming() bool {
	if !c.entry.proxy.Ready() {
		return false
	}
	return c.silent() > pausedAfter || c.waking.Load() || c.entry.feed.CatchingUp()
}

// probed hands the report of a probe to the groups that list the server.
func (c *controller) probed(r prober.Report) {
	c.entry.loop.Post(func() {
		feedback := balancer.Feedback{
			Now:     r.Received,
			Latency: r.Received.Sub(r.Sent),
			Report:  balancer.Report{Valid: true, InFlight: r.Active},
		}
		for _, g := range c.groups.groups {
			for _, id := range r.Upstreams {
				if u := g.upstreams[id]; u != nil && u.Address == r.Address {
					balancer.FinishProbe(g.picker, u, feedback)
				}
			}
		}
	})
}

package entry

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/prober"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

// The methods in this file implement proxy.Upstreams. The goroutines that serve requests
// call them; updates go to the control goroutine through its queue.

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

// BackingOff implements proxy.Upstreams. The server may be in several groups, and the
// prober backs off from it too.
func (c *controller) BackingOff(u *balancer.Upstream, until time.Time) {
	address := upstream.TargetAddress(u.Address)
	c.entry.prober.SetBackoff(address, until)
	c.recordBackoff(address, until)
}

// recordBackoff extends the backoff of the server at an address in all groups that list it.
func (c *controller) recordBackoff(address string, until time.Time) {
	c.entry.loop.Post(func() { c.groups.extendBackoff(address, until) })
}

// LimitChanged implements proxy.Upstreams.
func (c *controller) LimitChanged(u *balancer.Upstream) { c.entry.limits.Broadcast(u.Limit) }

// Reported implements proxy.Upstreams.
func (c *controller) Reported(address string, now time.Time) {
	c.entry.prober.RecordReport(upstream.TargetAddress(address), now)
}

// Resuming implements proxy.Upstreams. It detects a pause even before the control
// goroutine has run again.
func (c *controller) Resuming() bool {
	if !c.entry.proxy.Ready() {
		return false
	}
	return c.sinceHeartbeat() > pauseThreshold || c.resuming.Load() || c.entry.feed.CatchingUp()
}

// recordProbe passes the report of a probe to the groups that list the server.
func (c *controller) recordProbe(r prober.Report) {
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

package gateway

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
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
	c.gateway.loop.Post(func() {
		c.registry.RecordLeaving(clock.Now(), k, activation)
		c.publish(false)
	})
}

// ConnectFailed implements proxy.Upstreams.
func (c *controller) ConnectFailed(k lifecycle.UpstreamKey) {
	c.gateway.loop.Post(func() {
		c.registry.ConnectFailed(clock.Now(), k)
		c.publish(false)
	})
}

// ConnectSucceeded implements proxy.Upstreams.
func (c *controller) ConnectSucceeded(k lifecycle.UpstreamKey) {
	c.gateway.loop.Post(func() {
		c.registry.ConnectSucceeded(clock.Now(), k)
		c.publish(false)
	})
}

// BackingOff implements proxy.Upstreams.
func (c *controller) BackingOff(u *balancer.Upstream, until time.Time) {
	c.gateway.loop.Post(func() { c.pools.rests.Extend(restKey(u.ID, u.Activation), until) })
}

// LimitChanged implements proxy.Upstreams.
func (c *controller) LimitChanged(u *balancer.Upstream) { c.gateway.tellLimit(u.Limit) }

// Reported implements proxy.Upstreams.
func (c *controller) Reported(string, time.Time) {}

// Resuming implements proxy.Upstreams. What a paused process missed it learns
// from the store, which it follows by itself.
func (c *controller) Resuming() bool { return false }

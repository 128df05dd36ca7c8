package gateway

import (
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
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
	c.gateway.loop.Post(func() { c.pools.backoffs.Extend(backoffKey(u.ID, u.Activation), until) })
}

// LimitChanged implements proxy.Upstreams.
func (c *controller) LimitChanged(u *balancer.Upstream) { c.gateway.broadcastLimit(u.Limit) }

// Reported implements proxy.Upstreams.
func (c *controller) Reported(string, time.Time) {}

// Resuming implements proxy.Upstreams. After a pause, the process learns what it missed
// through its own watch on the store.
func (c *controller) Resuming() bool { return false }

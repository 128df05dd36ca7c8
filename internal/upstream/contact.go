package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

// Contact is a change of whether this host reaches any upstream.
type Contact struct {
	// Lost is true if several upstreams in a row failed, without a success of any other.
	Lost bool
	// LostFor is how long contact was lost, if it is regained.
	LostFor time.Duration
}

// recordReached records that an upstream was reached.
func (c *Client) recordReached() {
	regained, lostFor := c.contact.Succeeded(clock.Now())
	if regained {
		c.reportContact(Contact{LostFor: lostFor})
	}
}

// recordUnreached records that an upstream could not be reached or did not respond.
func (c *Client) recordUnreached(address string) {
	if c.contact.Failed(clock.Now(), address, c.poolCount()) {
		c.reportContact(Contact{Lost: true})
	}
}

func (c *Client) reportContact(change Contact) {
	if c.conf.OnContact != nil {
		c.conf.OnContact(change)
	}
}

// recordFailure records an exchange that failed with cause, unless the caller ended it or the
// upstream sent something.
func (c *Client) recordFailure(ctx context.Context, address string, cause error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errClosed) {
		c.recordUnreached(address)
	}
}

func (c *Client) poolCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.pools)
}

package upstream

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/relay"
)

// RefusesConnections reports whether connections to address are refused, which means that no
// process listens there. It returns false for a timeout and any other failure, because these
// don't show that.
//
// A link of this host that is cut may refuse connections too. So other hosts are asked; if none can
// tell, the refusal counts unless this host reaches no upstream at all.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	nc, err := c.Connect(ctx, address)
	if err == nil {
		_ = nc.Close() // nothing was sent
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if c.conf.Relay == nil {
		return true
	}
	switch c.conf.Relay.Check(ctx, address) {
	case relay.Refused:
		return true
	case relay.Reached:
		return false
	default:
		return !c.contact.Lost()
	}
}

package upstream

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections reports whether connections to address are refused, which means that no
// process listens there. It returns false for a timeout and any other failure, because these
// don't show that.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	nc, err := c.connect(ctx, parseTarget(address).address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close() // nothing was sent
	return false
}

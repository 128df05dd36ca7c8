package upstream

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/relay"
)

// RefusesConnections reports whether connections to address are refused, which means that no
// process listens there. It returns false for a timeout and any other failure, because these
// don't show that.
//
// A link of this host that is cut may refuse connections too, or hang. So other hosts are asked unless
// the connect succeeds; if none can tell, a refusal counts unless this host reaches no upstream at all.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	direct := make(chan error, 1)
	go func() {
		nc, err := c.Connect(ctx, address)
		if err == nil {
			_ = nc.Close() // nothing was sent
		}
		direct <- err
	}()
	if c.conf.Relay == nil {
		return errors.Is(<-direct, syscall.ECONNREFUSED)
	}
	err := awaitError(direct, relayDelay)
	if err == nil {
		return false
	}
	switch c.conf.Relay.Check(ctx, address) {
	case relay.Refused:
		return true
	case relay.Reached:
		return false
	}
	if errors.Is(err, errPending) {
		err = <-direct
	}
	return errors.Is(err, syscall.ECONNREFUSED) && !c.contact.Lost()
}

var errPending = errors.New("no result yet")

// awaitError returns the received error, or errPending if none arrives in time.
func awaitError(errs <-chan error, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-errs:
		return err
	case <-timer.C:
		return errPending
	}
}

// KeepConnection opens a connection to an upstream that requests were sent to, in the background, if
// there is no idle one and the limit allows it. It stays in the pool for the next request. OnLost tells when it closes, or when
// it is refused.
func (c *Client) KeepConnection(target string) {
	p := c.existingPool(target)
	if p == nil || p.hasIdle() {
		return
	}
	cn, ok := p.take(&httpwire.Request{LoadQuery: true}) // any connection will do
	switch {
	case cn != nil: // returned since
		p.put(cn)
	case ok:
		go c.openIdle(p)
	}
}

// openIdle opens a connection that no request waits for and that is counted as open already.
func (c *Client) openIdle(p *pool) {
	ctx, cancel := context.WithTimeout(context.Background(), c.conf.DialTimeout)
	defer cancel()
	cn, err := c.dial(ctx, p)
	if err != nil {
		p.release()
		return
	}
	p.put(cn)
}

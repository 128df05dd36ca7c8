package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/reachability"
)

// Contact is a change of whether this host reaches any upstream over its own links.
type Contact struct {
	// Lost is true if several upstreams in a row failed, without a success of any other.
	Lost bool
	// LostFor is how long contact was lost, if it is regained.
	LostFor time.Duration
}

// ContactLost reports whether this host reaches no upstream over its own links.
func (c *Client) ContactLost() bool { return c.contact.Lost() }

// recordReached records that an upstream was reached.
func (c *Client) recordReached() {
	regained, lostFor := c.contact.Succeeded(clock.Now())
	if regained {
		c.reportContact(Contact{LostFor: lostFor})
	}
}

// recordUnreached records that an upstream could not be reached or did not respond.
func (c *Client) recordUnreached(address string) {
	if s, suspected := c.contact.Failed(clock.Now(), address, c.poolCount()); suspected {
		go c.verifyContact(s)
	}
}

// recordDial records the outcome of a connect over this host's own links.
func (c *Client) recordDial(address string, err error) {
	switch {
	case err == nil:
		c.dials.Succeeded(clock.Now(), address)
		c.recordReached()
	case !errors.Is(err, context.Canceled):
		c.dials.Failed(clock.Now(), address)
		c.recordUnreached(address)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.reportLost(address)
	}
}

// reportLost reports that a connection to an upstream was lost or refused.
func (c *Client) reportLost(address string) {
	if c.conf.OnLost != nil {
		c.conf.OnLost(address)
	}
}

// Connect opens a TCP connection to the upstream with the given target string over this host's own
// links. The caller owns it.
func (c *Client) Connect(ctx context.Context, target string) (net.Conn, error) {
	nc, err := c.connect(ctx, parseTarget(target).address)
	if ctx.Err() != nil && err != nil {
		err = ctx.Err() // net's own error for a context that was canceled differs
	}
	c.recordDial(target, err)
	return nc, err
}

// otherUpstreams is how many upstreams that did not fail are tried before contact is considered
// lost: those that failed may all be of one service.
const otherUpstreams = 2

// verifyDelay is how long a suspicion that proved wrong is not checked again.
const verifyDelay = time.Second

// verifyContact connects to the upstreams that failed and to a few others: a host that was slow
// itself reaches them. If none is reached, the idle connections are closed, since requests on them
// would wait in vain.
func (c *Client) verifyContact(s reachability.Suspicion) {
	now := clock.Now().UnixNano()
	last := c.verified.Load()
	if now-last < int64(verifyDelay) || !c.verified.CompareAndSwap(last, now) {
		c.contact.Reject(s)
		return
	}
	c.trySuspects()
	if !c.contact.Confirm(clock.Now(), s) {
		return
	}
	c.reportContact(Contact{Lost: true})
	for _, p := range c.allPools() {
		p.closeDirect()
	}
	c.scheduleContactCheck()
}

// contactCheckInterval is how often a host that lost contact tries to regain it. It may have no
// requests of its own, and relays none while it is cut off.
const contactCheckInterval = time.Second

func (c *Client) scheduleContactCheck() { time.AfterFunc(contactCheckInterval, c.checkContact) }

// checkContact tries to regain contact until it succeeds or the client stops.
func (c *Client) checkContact() {
	select {
	case <-c.stop:
		return
	default:
	}
	if !c.contact.Lost() {
		return
	}
	c.trySuspects()
	c.scheduleContactCheck()
}

// trySuspects connects to the upstreams that failed, to the one that responded last and to some
// others, and waits for the results.
func (c *Client) trySuspects() {
	var tries sync.WaitGroup
	for _, target := range c.suspects() {
		tries.Go(func() { c.tryDirect(target) })
	}
	tries.Wait()
}

// suspects returns the targets that trySuspects tries.
func (c *Client) suspects() []string {
	out, last := c.contact.Failing(), c.lastReached.Load()
	others := 0
	for _, p := range c.allPools() { // in no particular order
		switch {
		case slices.Contains(out, p.address):
		case p == last:
			out = append(out, p.address)
		case others < otherUpstreams && !c.connectFails(p):
			out = append(out, p.address)
			others++
		}
	}
	return out
}

// connectFails reports whether the last connect to the upstream failed.
func (c *Client) connectFails(p *pool) bool {
	fails, _ := c.dials.Failing(clock.Now(), p.address, 0)
	return fails
}

// tryDirect connects to an upstream over this host's own links. If this host sends requests to the
// upstream, the connection is kept for them.
func (c *Client) tryDirect(target string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.conf.DialTimeout)
	defer cancel()
	p := c.existingPool(target)
	if p == nil {
		nc, err := c.Connect(ctx, target)
		if err == nil {
			_ = nc.Close()
		}
		return err == nil
	}
	cn, err := c.dialDirect(ctx, p)
	if err != nil {
		return false
	}
	p.adopt(cn)
	return true
}

func (c *Client) reportContact(change Contact) {
	if c.conf.OnContact != nil {
		c.conf.OnContact(change)
	}
}

// recordExchange records the outcome of an exchange on a connection. A failure counts unless the
// caller ended the exchange or the upstream sent something.
func (c *Client) recordExchange(ctx context.Context, cn *conn, cause error) {
	failed := errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errClosed)
	switch {
	case cause != nil && (!failed || errors.Is(ctx.Err(), context.Canceled)):
	case cn.via != nil && failed:
		cn.via.Failed(cn.pool.address)
	case cn.via != nil:
		cn.via.Succeeded()
	case failed:
		c.recordUnreached(cn.pool.address)
	default:
		c.lastReached.Store(cn.pool)
		c.recordReached()
	}
}

func (c *Client) poolCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.pools)
}

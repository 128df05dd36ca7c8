package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
)

// pool holds the connections to one upstream.
type pool struct {
	address string
	target  target

	mu sync.Mutex
	// idle is a stack: the most recently used connection is reused first. queryIdle is another one,
	// of the connections that are only used for load queries.
	idle, queryIdle []*conn
	maxIdle         int
	// open counts the connections, including those that are being established.
	open  int
	limit int
	// relayFailed is when peers last did not reach the upstream.
	relayFailed time.Time
	// directChecked is when it was last checked whether a relayed upstream can be reached directly,
	// and directSince when it was found to be. Relayed connections from before are not used.
	directChecked, directSince time.Time
}

// maxOnceIdle is the maximum idle time of a connection for a request that must not be sent
// twice: an upstream may drop an idle connection silently and reset it when it gets data.
const maxOnceIdle = time.Second

// take returns an idle connection for a request, or nil and whether a new one may be opened; if so,
// it is already counted as open and must be released. A non-repeatable request only gets a
// connection that was used within maxOnceIdle, unless the limit allows no new one.
func (p *pool) take(req *httpwire.Request) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.LoadQuery {
		if cn := p.popUsable(&p.queryIdle, false); cn != nil {
			return cn, true
		}
	}
	if cn := p.popUsable(&p.idle, req.NonRepeatable); cn != nil {
		return cn, true
	}
	if p.open >= p.limit && !p.dropQueryConn() {
		return nil, false
	}
	p.open++
	return nil, true
}

// popUsable removes the newest usable connection from a stack and returns it, or nil if there is none.
// With once set, it must have been used within maxOnceIdle, unless the limit allows no new one. The
// caller must hold p.mu.
func (p *pool) popUsable(stack *[]*conn, once bool) *conn {
	for n := len(*stack); n > 0; n = len(*stack) {
		cn := (*stack)[n-1]
		if once && p.open < p.limit && clock.Since(cn.idleSince) > maxOnceIdle {
			return nil // the others have been idle for longer
		}
		(*stack)[n-1] = nil
		*stack = (*stack)[:n-1]
		if cn.usable(clock.Now()) {
			return cn
		}
		cn.close()
		p.open--
	}
	return nil
}

// dropQueryConn closes an idle connection that no request may use, to make room for one that may. It
// returns false if there is none. The caller must hold p.mu.
func (p *pool) dropQueryConn() bool {
	if len(p.queryIdle) == 0 {
		return false
	}
	p.queryIdle[0].close()
	p.queryIdle = slices.Delete(p.queryIdle, 0, 1)
	p.open--
	return true
}

// hasIdle reports whether an idle connection is usable.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	usable := func(cn *conn) bool { return cn.usable(now) }
	return slices.ContainsFunc(p.idle, usable) || slices.ContainsFunc(p.queryIdle, usable)
}

// put returns a reusable connection to the pool.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := &p.idle
	if cn.queriesOnly {
		stack = &p.queryIdle
	}
	if len(*stack) >= p.maxIdle || p.open > p.limit || cn.via != nil && !p.relayUsable(cn) {
		cn.close()
		p.open--
		return
	}
	cn.reused = true
	cn.idleSince = clock.Now()
	*stack = append(*stack, cn)
}

// release uncounts a connection that was closed or could not be opened.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// retire closes the idle connections and stops pooling.
func (p *pool) retire(now time.Time) {
	p.mu.Lock()
	p.maxIdle = 0
	p.mu.Unlock()
	p.closeIdle(now)
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// adopt adds a connection that no request waits for.
func (p *pool) adopt(cn *conn) {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	p.put(cn)
}

// relayUsable reports whether a relayed connection may be used for another request. The caller must
// hold p.mu.
func (p *pool) relayUsable(cn *conn) bool {
	return cn.via.Usable() && cn.opened.After(p.directSince)
}

// setDirect records that the upstream is reached over this host's own links.
func (p *pool) setDirect(now time.Time) {
	p.mu.Lock()
	p.directSince = now
	p.mu.Unlock()
	p.closeIdleIf(func(cn *conn) bool { return cn.via != nil })
}

// closeDirect closes the idle connections over this host's own links.
func (p *pool) closeDirect() { p.closeIdleIf(func(cn *conn) bool { return cn.via == nil }) }

func (p *pool) setRelayFailed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayFailed = now
}

func (p *pool) relayFailedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayFailed.After(t)
}

// startDirectCheck reports whether a check is due, and records that it begins.
func (p *pool) startDirectCheck(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.directChecked) < directCheckInterval {
		return false
	}
	p.directChecked = now
	return true
}

// closeIdle closes the connections that have been idle since before.
func (p *pool) closeIdle(before time.Time) {
	p.closeIdleIf(func(cn *conn) bool { return !cn.idleSince.After(before) })
}

// closeIdleIf closes the idle connections for which drop returns true.
func (p *pool) closeIdleIf(drop func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stack := range []*[]*conn{&p.idle, &p.queryIdle} {
		*stack = slices.DeleteFunc(*stack, func(cn *conn) bool {
			if !drop(cn) {
				return false
			}
			cn.close()
			p.open--
			return true
		})
	}
}

// pool returns the pool of an address and creates it if necessary.
func (c *Client) pool(address string) *pool {
	if p := c.existingPool(address); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return p
	}
	p := &pool{address: address, target: parseTarget(address), maxIdle: c.conf.IdlePerUpstream, limit: c.limit(address)}
	c.pools[address] = p
	return p
}

func (c *Client) existingPool(address string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[address]
}

func (c *Client) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}

// limit returns the connection limit of an address. The caller must hold c.mu.
func (c *Client) limit(address string) int {
	if n, ok := c.limits[address]; ok {
		return n
	}
	return c.conf.MaxConnections
}

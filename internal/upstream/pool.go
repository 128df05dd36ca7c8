package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
)

// pool holds the connections to one upstream.
type pool struct {
	address string
	target  target
	// mine is Config.Matches.
	mine func(*httpwire.Request, http.Header) bool

	mu sync.Mutex
	// idle is a stack: the connection used last is taken first.
	idle    []*conn
	maxIdle int
	// open counts the connections, those being made included.
	open  int
	limit int
}

// onceIdle is how long a connection may have been idle for a request that must
// not be sent twice: upstreams may forget idle connections without a word, and
// reset what comes on them.
const onceIdle = time.Second

// take returns an idle connection, or nil and whether a new one may be made;
// if so it is counted as open and must be released. Once asks for a connection
// that was used a moment ago.
func (p *pool) take(once bool) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		cn := p.idle[n-1]
		if once && p.open < p.limit && clock.Since(cn.idleSince) > onceIdle {
			break // the others have been idle for longer
		}
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		if cn.usable(clock.Now()) {
			return cn, true
		}
		cn.close()
		p.open--
	}
	if p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// put gives back a connection that may carry another request.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.maxIdle || p.open > p.limit {
		cn.close()
		p.open--
		return
	}
	cn.reused = true
	cn.idleSince = clock.Now()
	p.idle = append(p.idle, cn)
}

// release forgets a connection that was closed or could not be made.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// retire closes the idle connections and keeps none from now on.
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

// closeIdle closes the connections that have been idle since before.
func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if cn.idleSince.After(before) {
			kept = append(kept, cn)
			continue
		}
		cn.close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// pool returns the pool of an address and makes it if it is new.
func (c *Client) pool(address string) *pool {
	if p := c.knownPool(address); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		return p
	}
	p := &pool{address: address, target: parseTarget(address), maxIdle: c.conf.IdlePerUpstream, mine: c.conf.Matches, limit: c.limit(address)}
	c.pools[address] = p
	return p
}

func (c *Client) knownPool(address string) *pool {
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

// limit is called under c.mu.
func (c *Client) limit(address string) int {
	if n, ok := c.limits[address]; ok {
		return n
	}
	return c.conf.MaxConnections
}

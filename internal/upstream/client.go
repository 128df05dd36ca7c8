// Package upstream sends requests to upstreams over pooled connections with
// one request in flight on each.
//
// Every failure is classified by what the upstream can have received: a kind
// whose outcome is "not run" is returned only while the kernel has not taken
// the whole request head. After that the outcome is unknown unless a whole
// answer arrives.
package upstream

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Defaults of Config.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdleTimeout     = 30 * time.Second
	DefaultMaxHeadBytes    = 64 << 10
	DefaultMaxConnections  = 200
	DefaultIdlePerUpstream = 64
)

// Config configures a Client. A zero limit or timeout takes its default.
type Config struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that carried no request for that long.
	IdleTimeout time.Duration
	// IdlePerUpstream bounds the idle connections kept to one upstream.
	IdlePerUpstream int
	// MaxConnections bounds the connections to one upstream, unless SetLimits
	// gives another bound for it.
	MaxConnections int
	// Matches reports whether an answer belongs to a request; one that does not is
	// dropped and the next one is awaited. Nil takes every answer.
	Matches func(req *httpwire.Request, h http.Header) bool
	// MaxHeadBytes bounds the head of an answer, in bytes.
	MaxHeadBytes int
	// MaxResponseBytes bounds the body of an answer, in bytes.
	MaxResponseBytes int
	// TLS returns the configuration of one handshake with an upstream whose
	// certificate must carry a name, or its IP if the name is empty; nil if no
	// authority is set, and then nothing is sent to upstreams with TLS.
	TLS func(name string) *tls.Config
}

func (c Config) withDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerUpstream = cmp.Or(c.IdlePerUpstream, DefaultIdlePerUpstream)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MaxHeadBytes = cmp.Or(c.MaxHeadBytes, DefaultMaxHeadBytes)
	return c
}

// Client holds the connections of one process to all its upstreams.
type Client struct {
	conf   Config
	engine socket.Engine
	stop   chan struct{}

	mu     sync.RWMutex
	pools  map[string]*pool
	limits map[string]int
}

// New returns a client; Start must be called before Do.
func New(conf Config) *Client {
	conf = conf.withDefaults()
	c := &Client{conf: conf, stop: make(chan struct{}), pools: make(map[string]*pool)}
	c.engine.Engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "upstreams",
		MaxHTTPBodySize: conf.MaxResponseBytes,
		ReadLimit:       conf.MaxResponseBytes + conf.MaxHeadBytes,
	})
	c.engine.OnWrittenSize(socket.OnWritten)
	c.engine.Engine.Engine.OnRead(socket.OnRead)
	return c
}

// Start starts the event loop.
func (c *Client) Start() error {
	if err := c.engine.Start(); err != nil {
		return errors.Wrap(err, "start upstream engine")
	}
	go c.sweep()
	return nil
}

// Stop closes every connection. It must be called once, after Start.
func (c *Client) Stop() {
	close(c.stop)
	c.engine.Stop()
}

// SetLimits bounds the connections to each address in limits: this entry
// host's share. An address without an entry has Config.MaxConnections. A lower
// bound takes effect as connections are given back. The map must not be
// changed afterwards.
func (c *Client) SetLimits(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for address, p := range c.pools {
		p.setLimit(c.limit(address))
	}
}

// CloseIdle closes the idle connections to address, for an upstream that
// leaves.
func (c *Client) CloseIdle(address string) {
	if p := c.knownPool(address); p != nil {
		p.closeIdle(clock.Now())
	}
}

// Forget closes the idle connections to an address that is not used any more
// and drops what is known of it. Requests in flight end as usual.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.retire(clock.Now())
	}
}

// Do sends req to address and waits for the whole answer. The error is an
// *errkind.Error; its kind says whether the request can have run. When ctx
// ends the connection is closed, so that the upstream can stop its work.
func (c *Client) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	p := c.pool(address)
	if p.target.tls && c.conf.TLS == nil {
		return nil, errkind.New(errkind.UpstreamTLSNotSet, p.target.address)
	}
	for {
		cn, err := c.acquire(ctx, p, req.Once)
		if err != nil {
			return nil, err
		}
		resp, err := cn.roundTrip(ctx, req)
		if err == nil {
			return resp, nil
		}
		// A pooled connection that ended before it took a byte proves nothing
		// about the upstream: the next connection is tried.
		if err.Kind == errkind.SendFailed && cn.reused && cn.sent.Load() == 0 {
			continue
		}
		return nil, err
	}
}

// acquire takes an idle connection or makes one.
func (c *Client) acquire(ctx context.Context, p *pool, once bool) (*conn, *errkind.Error) {
	if ctx.Err() != nil {
		return nil, endedBeforeSend(ctx, p.address)
	}
	cn, ok := p.take(once)
	if cn != nil {
		return cn, nil
	}
	if !ok {
		return nil, errkind.New(errkind.Overloaded, "connection bound of "+p.address)
	}
	cn, err := c.dial(ctx, p)
	if err == nil {
		return cn, nil
	}
	p.release()
	if ctx.Err() != nil {
		return nil, endedBeforeSend(ctx, p.address)
	}
	return nil, errkind.Wrap(errkind.ConnectFailed, err, p.address)
}

// endedBeforeSend is the error for a context that ended with nothing sent.
func endedBeforeSend(ctx context.Context, address string) *errkind.Error {
	kind := errkind.DeadlineBeforeSend
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = errkind.CallerGone
	}
	return errkind.Wrap(kind, ctx.Err(), address)
}

func (c *Client) dial(ctx context.Context, p *pool) (*conn, error) {
	d := net.Dialer{Timeout: c.conf.DialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.target.address)
	if err != nil {
		return nil, err
	}
	session, err := c.handshake(ctx, p, nc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	cn := newConn(c, p, nbc)
	if err := cn.secure(session); err != nil {
		_ = nbc.Close()
		return nil, err
	}
	socket.SetSession(nbc, cn)
	nbc.OnData(c.engine.DataHandler)
	if _, err := c.engine.AddConn(nbc); err != nil {
		_ = nbc.Close()
		return nil, err
	}
	return cn, nil
}

// sweep closes connections that have been idle for too long.
func (c *Client) sweep() {
	ticker := time.NewTicker(c.conf.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			now := clock.Now()
			for _, p := range c.allPools() {
				p.closeIdle(now.Add(-c.conf.IdleTimeout))
			}
		}
	}
}

// Package upstream is the HTTP/1.1 client for upstreams. It uses pooled connections
// with one request in flight on each.
//
// Every failure is classified by what the upstream may have received: a kind whose
// outcome is "not run" is returned only if the kernel has not accepted the complete
// request head. After that the outcome is unknown unless a complete response
// arrives.
package upstream

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/reachability"
)

// Default values of Config.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdleTimeout     = 30 * time.Second
	DefaultMaxHeadBytes    = 64 << 10
	DefaultMaxConnections  = 200
	DefaultIdlePerUpstream = 64
)

// Config configures a Client. A limit or timeout of zero is replaced by its default.
type Config struct {
	// DialTimeout limits the time for the TCP connect, and for the TLS handshake.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// IdlePerUpstream limits the idle connections to one upstream.
	IdlePerUpstream int
	// MaxConnections limits the connections to one upstream, unless SetLimits
	// sets another limit for it.
	MaxConnections int
	// Attribute says whose response this is while a request is in flight. A foreign one is dropped, and
	// the client waits for the next one. A second copy of an unnamed refusal, which may arrive late,
	// could be taken for the response to the next request on the connection, which then runs twice:
	// after one, the connection is only used for load queries. Nil means that every response is named.
	Attribute func(req *httpwire.Request, resp *httpwire.Response) httpwire.Attribution
	// MaxHeadBytes limits the size of a response head.
	MaxHeadBytes int
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes int
	// MaxReceivingBytes limits the bytes of all responses that are being received, in bytes; 0 is
	// no limit. Beyond it, those of the upstream that takes the most are aborted.
	MaxReceivingBytes int64
	// HeldBytes returns the bytes held elsewhere that count towards MaxReceivingBytes; nil for none.
	HeldBytes func() int64
	// TLS returns the configuration of one handshake with an upstream whose
	// certificate must be valid for the given name, or for its IP if the name is empty.
	// It is nil if no CA is configured; requests to upstreams with TLS then fail.
	TLS func(name string) *tls.Config
	// Dial opens the TCP connections to upstreams; nil means net.Dialer. Its timeout is that of
	// the context.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Relay connects to upstreams that this host can't reach itself; nil if there are no other
	// hosts. It is not used for upstreams with TLS.
	Relay Relay
	// OnLost is called with the target string of an upstream when an idle connection to it closes,
	// on either side, or a connect over this host's own links is refused; nil is allowed. It must
	// not block.
	OnLost func(target string)
	// OnContact is called when contact with all upstreams is lost or regained; nil is allowed.
	// It must not block.
	OnContact func(Contact)
}

func (c Config) withDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerUpstream = cmp.Or(c.IdlePerUpstream, DefaultIdlePerUpstream)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MaxHeadBytes = cmp.Or(c.MaxHeadBytes, DefaultMaxHeadBytes)
	if c.Dial == nil {
		c.Dial = new(net.Dialer).DialContext
	}
	return c
}

// Client manages the connections of one process to all its upstreams.
type Client struct {
	conf   Config
	engine socket.Engine
	stop   chan struct{}
	// contact records whether any upstream is reached.
	contact reachability.Tracker
	// lastReached is the pool of the upstream that responded last over this host's own links.
	lastReached atomic.Pointer[pool]
	// verified is when the loss of contact was last checked, in Unix nanoseconds.
	verified atomic.Int64
	// receiving bounds the memory for incomplete responses.
	receiving receiveBudget
	// dials records the upstreams that can't be connected to over this host's own links.
	dials reachability.Dials

	mu     sync.RWMutex
	pools  map[string]*pool
	limits map[string]int
}

// New returns a client; Start must be called before Do.
func New(conf Config) *Client {
	conf = conf.withDefaults()
	c := &Client{conf: conf, stop: make(chan struct{}), pools: make(map[string]*pool)}
	c.receiving.limit, c.receiving.held = conf.MaxReceivingBytes, conf.HeldBytes
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

// SetLimits limits the connections to each address in limits to this entry host's
// share. Config.MaxConnections applies to an address without an entry. A lower limit
// takes effect as connections are returned to the pool. The map must not be changed
// afterwards.
func (c *Client) SetLimits(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for address, p := range c.pools {
		p.setLimit(c.limit(address))
	}
}

// CloseIdle closes the idle connections to address, for an upstream that is
// leaving.
func (c *Client) CloseIdle(address string) {
	if p := c.existingPool(address); p != nil {
		p.closeIdle(clock.Now())
	}
}

// Forget closes the idle connections to an address that is no longer used and
// drops its state. Requests in flight complete normally.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.retire(clock.Now())
	}
}

// Do sends req to address and waits for the complete response. The kind of the error
// says whether the request may have been executed. When ctx ends, the connection is
// closed, so that the upstream can stop processing.
func (c *Client) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	p := c.pool(address)
	if p.target.tls && c.conf.TLS == nil {
		return nil, errkind.New(errkind.UpstreamTLSNotSet, p.target.address)
	}
	for {
		cn, err := c.acquire(ctx, p, req)
		if err != nil {
			return nil, err
		}
		resp, err := cn.roundTrip(ctx, req)
		if err == nil {
			return resp, nil
		}
		// A reused connection that was closed before any byte was sent says nothing
		// about the upstream: retry on another connection.
		if err.Kind == errkind.SendFailed && cn.reused && cn.sent.Load() == 0 {
			continue
		}
		return nil, err
	}
}

// acquire returns an idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, p *pool, req *httpwire.Request) (*conn, *errkind.Error) {
	if ctx.Err() != nil {
		return nil, endedBeforeSend(ctx, p.address)
	}
	cn, ok := p.take(req)
	if cn != nil {
		if cn.via != nil {
			c.checkDirect(p)
		}
		return cn, nil
	}
	if !ok {
		return nil, errkind.New(errkind.ConnectionLimit, p.address)
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

// endedBeforeSend returns the error for a context that ended before anything was sent.
func endedBeforeSend(ctx context.Context, address string) *errkind.Error {
	kind := errkind.DeadlineBeforeSend
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = errkind.CallerGone
	}
	return errkind.Wrap(kind, ctx.Err(), address)
}

// dial opens a connection, which is counted as open already.
func (c *Client) dial(ctx context.Context, p *pool) (*conn, error) {
	if c.conf.Relay == nil || p.target.tls {
		return c.dialDirect(ctx, p)
	}
	return c.dialRaced(ctx, p)
}

// dialDirect opens a connection over this host's own links.
func (c *Client) dialDirect(ctx context.Context, p *pool) (*conn, error) {
	nc, err := c.Connect(ctx, p.address)
	if err != nil {
		return nil, err
	}
	session, err := c.handshake(ctx, p, nc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c.attach(p, nc, session, nil)
}

// attach puts a connection on the event loop. Via is set for a relayed one. It closes nc on failure.
func (c *Client) attach(p *pool, nc net.Conn, session *socket.TLS, via *relay.Conn) (*conn, error) {
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	cn := newConn(c, p, nbc)
	cn.via = via
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

// connect opens a TCP connection within Config.DialTimeout.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.conf.DialTimeout)
	defer cancel()
	return c.conf.Dial(ctx, "tcp", address)
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

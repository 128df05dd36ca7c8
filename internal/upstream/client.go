// Package upstream sends requests to upstreams over pooled connections with
// one request in flight on each.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Config configures a Client.
type Config struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// IdlePerUpstream bounds the idle connections kept to one upstream.
	IdlePerUpstream int
	// MaxResponseBytes bounds an answer, head and body, in bytes.
	MaxResponseBytes int
}

// Client holds the connections of one process to all its upstreams.
type Client struct {
	conf   Config
	engine *nbhttp.Engine
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a client; Start must be called before Do.
func New(conf Config) *Client {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:            "upstreams",
		MaxHTTPBodySize: conf.MaxResponseBytes,
		ReadLimit:       conf.MaxResponseBytes,
	})
	return &Client{conf: conf, engine: engine, idle: make(map[string][]*conn)}
}

// Start starts the event loop.
func (c *Client) Start() error { return errors.Wrap(c.engine.Start(), "start upstream engine") }

// Stop closes every connection.
func (c *Client) Stop() { c.engine.Stop() }

// Do sends req to address and waits for the whole answer. The error is an
// *errkind.Error; its kind says whether the request can have run. When ctx
// ends the connection is closed, so that the upstream can stop its work.
func (c *Client) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	cn := c.takeIdle(address)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, address); err != nil {
			return nil, errkind.Wrap(errkind.ConnectFailed, err, address)
		}
	}
	resp, err := cn.roundTrip(ctx, req)
	if err != nil {
		cn.close()
		return nil, err
	}
	c.putIdle(cn)
	return resp, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		cn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if !cn.isClosed() {
			return cn
		}
	}
	return nil
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.address]) >= c.conf.IdlePerUpstream {
		cn.close()
		return
	}
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: c.conf.DialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	nbc, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	cn := &conn{address: address, nbc: nbc, result: make(chan result, 1)}
	nbc.SetSession(nbhttp.NewParser(nbc, c.engine, cn, true, nil))
	nbc.OnData(c.engine.DataHandler)
	if _, err := c.engine.AddConn(nbc); err != nil {
		_ = nbc.Close()
		return nil, err
	}
	return cn, nil
}

package upstream

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/relay"
)

// Relay connects to upstreams through other entry hosts.
type Relay interface {
	// Dial connects to the upstream with the given target string.
	Dial(ctx context.Context, target string) (*relay.Conn, *relay.Error)
	// Check asks other hosts whether they reach an upstream.
	Check(ctx context.Context, target string) relay.Verdict
}

const (
	// relayDelay is how long a connect over this host's own links may take before a peer is asked
	// beside it, as in RFC 8305. Round trips take less than 10 ms.
	relayDelay = 30 * time.Millisecond
	// relayTimeout bounds connecting through peers. It does not end with the request: a
	// connection that comes too late for a load query serves the next one.
	relayTimeout = 500 * time.Millisecond
	// relayRetryDelay is how long no peer is asked for an upstream that peers did not reach.
	relayRetryDelay = 250 * time.Millisecond
	// directCheckInterval is how often it is checked, while relayed connections to an upstream
	// are in use, whether it can be reached over this host's own links again.
	directCheckInterval = 500 * time.Millisecond
)

var (
	errRelayLeaving = errors.New("the relaying host is leaving")
	errCutOff       = errors.New("this host is cut off from upstreams, and so are its peers")
)

// dialRaced connects over this host's own links and, if that fails or takes long while connects
// to other upstreams failed as well, through a peer.
func (c *Client) dialRaced(ctx context.Context, p *pool) (*conn, error) {
	r := c.startRace(ctx, p)
	timer := time.NewTimer(c.relayDelay(p))
	defer timer.Stop()
	for r.pending() {
		select {
		case d := <-r.direct:
			if d.err == nil {
				r.discardRelayed()
				return d.conn, nil
			}
			r.directErr = d.err
			r.direct = nil
			r.startRelay()
		case <-timer.C:
			r.startRelay()
		case cn := <-r.relayed:
			if cn != nil {
				r.keepDirect()
				return cn, nil
			}
			r.relayed = nil
			if c.contact.Lost() { // the connect beside it would only time out
				r.keepDirect()
				return nil, errCutOff
			}
		case <-ctx.Done():
			r.abandon(ctx)
			return nil, ctx.Err()
		}
	}
	return nil, r.directErr
}

// relayDelay returns how long to wait for a connect over this host's own links: not at all if the
// last one failed.
func (c *Client) relayDelay(p *pool) time.Duration {
	this, _ := c.dials.Failing(clock.Now(), p.address, c.poolCount())
	if this || c.contact.Lost() {
		return 0
	}
	return relayDelay
}

// race is a connect over this host's own links and one through a peer beside it. Neither ends with
// the request: a connection that comes too late for a load query serves the next one.
type race struct {
	client *Client
	pool   *pool
	// direct and relayed receive one result each. They are nil before the start and after the
	// result; a nil conn in relayed is a failure.
	direct       chan dialed
	relayed      chan *conn
	cancelDirect context.CancelFunc
	cancelRelay  context.CancelFunc // nil before the start
	directErr    error
}

type dialed struct {
	conn *conn
	err  error
}

// startRace starts to connect over this host's own links.
func (c *Client) startRace(ctx context.Context, p *pool) *race {
	r := &race{client: c, pool: p, direct: make(chan dialed, 1)}
	directCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancelDirect = cancel
	direct := r.direct
	go func() {
		defer cancel()
		cn, err := c.dialDirect(directCtx, p)
		direct <- dialed{cn, err}
	}()
	return r
}

// pending reports whether a result is outstanding.
func (r *race) pending() bool { return r.direct != nil || r.relayed != nil }

// startRelay starts to connect through a peer, unless that has begun or is of no use.
func (r *race) startRelay() {
	if r.cancelRelay != nil || !r.client.mayRelay(r.pool) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	r.cancelRelay = cancel
	r.relayed = make(chan *conn, 1)
	relayed := r.relayed
	go func() {
		defer cancel()
		relayed <- r.client.dialRelayed(ctx, r.pool)
	}()
}

// discardRelayed drops the relayed connection, if there will be one.
func (r *race) discardRelayed() {
	if r.relayed == nil {
		return
	}
	r.cancelRelay()
	go func(relayed <-chan *conn) {
		if cn := <-relayed; cn != nil {
			cn.close()
		}
	}(r.relayed)
}

// keepDirect keeps the direct connection, if there will be one, in place of relayed ones.
func (r *race) keepDirect() {
	if r.direct == nil {
		return
	}
	go func(direct <-chan dialed) {
		if d := <-direct; d.err == nil {
			r.pool.adopt(d.conn)
			r.pool.setDirect(clock.Now())
		}
	}(r.direct)
}

// abandon ends the race because the request has ended. If that is due to its deadline, the
// connections are kept for the next one.
func (r *race) abandon(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		r.cancelDirect()
	} else if r.direct != nil {
		r.client.recordDial(r.pool.address, ctx.Err())
	}
	r.keepDirect()
	if r.relayed == nil {
		return
	}
	go func(relayed <-chan *conn) {
		if cn := <-relayed; cn != nil {
			r.pool.adopt(cn)
		}
	}(r.relayed)
}

// dialRelayed connects through a peer; it returns nil on failure.
func (c *Client) dialRelayed(ctx context.Context, p *pool) *conn {
	via, failure := c.conf.Relay.Dial(ctx, p.address)
	if failure != nil {
		p.setRelayFailed(clock.Now())
		return nil
	}
	cn, err := c.attach(p, via.Conn, nil, via)
	if err != nil {
		via.Release()
		return nil
	}
	return cn
}

// mayRelay reports whether peers are asked for connections to an upstream. They are not if it is
// the only one that fails, which probably crashed, nor if they just failed to reach it.
func (c *Client) mayRelay(p *pool) bool {
	now := clock.Now()
	if c.contact.Lost() {
		return true
	}
	_, several := c.dials.Failing(now, p.address, c.poolCount())
	return several && !p.relayFailedSince(now.Add(-relayRetryDelay))
}

// checkDirect checks, if it is time to, whether the upstream can be reached over this host's own
// links again. If so, relayed connections to it are used no longer.
func (c *Client) checkDirect(p *pool) {
	if !p.startDirectCheck(clock.Now()) {
		return
	}
	go func() {
		if c.tryDirect(p.address) {
			p.setDirect(clock.Now())
		}
	}()
}

// parseRelayed handles the received data of a relayed connection.
func (c *conn) parseRelayed(data []byte) error {
	if err := c.via.Decoder.Decode(data, c.handlePlaintext); err != nil {
		return err
	}
	switch {
	case c.via.Decoder.Ended():
		c.endOfResponses()
		return io.EOF
	case c.via.Decoder.Leaving() && c.isIdle():
		return errRelayLeaving
	default:
		return nil
	}
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy
}

// viaName returns how a request reached the upstream: empty for this host's own links.
func (c *conn) viaName() string {
	if c.via == nil {
		return ""
	}
	return c.via.Name()
}

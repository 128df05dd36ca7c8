package relay

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/reachability"
	"github.com/dapplespindle/dapplespindle/pkg/relay"
)

const (
	// headerUpstream names the upstream of a CONNECT request, as a target string of
	// internal/upstream.
	headerUpstream = "Spindle-Upstream"
	// headerFailure names the relay.Failure of a response that is not 200.
	headerFailure = "Spindle-Failure"

	// tryTimeout bounds one try: connecting to the peer, and from there to the upstream.
	tryTimeout = 250 * time.Millisecond
	// tryDelay is how long a try may take before the next peer is tried beside it. Hosts are some
	// milliseconds apart.
	tryDelay = 15 * time.Millisecond
	// maxTries bounds the peers that are tried for one connection.
	maxTries = 4
	// maxUpstreamFailures is how many peers that reach other upstreams must fail to reach this
	// one until the upstream is considered unreachable.
	maxUpstreamFailures = 3
)

// Error is returned if no peer relayed a connection.
type Error struct {
	// Failure is that of the last try.
	Failure relay.Failure
	// Peers is the number of peers that were tried.
	Peers int
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peers == 0 {
		return "no peer to relay through"
	}
	return "relay: " + e.Failure.String()
}

// Dialer connects to upstreams through peers. It is safe for concurrent use.
type Dialer struct {
	local net.Addr // the address from which peers know this host

	mu     sync.Mutex
	choice *relay.Choice
	paths  map[netip.AddrPort]*reachability.Tracker // of the peers with open connections
}

// NewDialer returns a Dialer without peers, for a host with the given IP.
func NewDialer(ip netip.Addr) *Dialer {
	return &Dialer{
		local:  net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)),
		choice: relay.NewChoice(),
		paths:  make(map[netip.AddrPort]*reachability.Tracker),
	}
}

// SetPeers replaces the peers of this host, which is in the given failure domain.
func (d *Dialer) SetPeers(failureDomain string, peers []relay.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choice.SetPeers(failureDomain, peers)
}

// try is the outcome of one try.
type try struct {
	peer    netip.AddrPort
	conn    net.Conn
	failure relay.Failure
}

// Dial connects to the upstream with the given target string through a peer. A peer that takes
// long is not waited for: another one is tried beside it.
func (d *Dialer) Dial(ctx context.Context, target string) (*Conn, *Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tried []netip.AddrPort
	results := make(chan try, maxTries)
	pending, upstreamFailures := 0, 0
	next := func() {
		if len(tried) >= maxTries || upstreamFailures >= maxUpstreamFailures {
			return
		}
		if peer, ok := d.pick(tried); ok {
			tried = append(tried, peer)
			pending++
			go func() { results <- d.try(ctx, peer, target) }()
		}
	}
	next()
	delay := time.NewTicker(tryDelay)
	defer delay.Stop()
	last := relay.Unreachable
	for pending > 0 {
		select {
		case <-delay.C:
			next()
		case r := <-results:
			pending--
			if r.conn != nil {
				cancel()
				go closeOthers(results, pending)
				return d.newConn(r), nil
			}
			last = r.failure
			if last.AboutUpstream() {
				upstreamFailures++
			}
			next()
		}
	}
	return nil, &Error{Failure: last, Peers: len(tried)}
}

// Verdict is what peers say about an upstream.
type Verdict uint8

// The verdicts of Check.
const (
	// Unknown means that no peer could tell.
	Unknown Verdict = iota
	// Reached means that a peer connected to the upstream.
	Reached
	// Refused means that connections to the upstream are refused at a peer, and none reached it.
	Refused
)

// checkPeers is the number of peers that Check asks: one near and one in another failure domain, since
// a cut often affects all hosts of a domain.
const checkPeers = 2

// Check asks peers whether they can connect to the upstream with the given target string.
func (d *Dialer) Check(ctx context.Context, target string) Verdict {
	var asked []netip.AddrPort
	results := make(chan try, checkPeers)
	for range checkPeers {
		peer, ok := d.pick(asked)
		if !ok {
			break
		}
		asked = append(asked, peer)
		go func() { results <- d.try(ctx, peer, target) }()
	}
	verdict := Unknown
	for range asked {
		r := <-results
		switch {
		case r.conn != nil:
			_ = r.conn.Close()
			verdict = Reached
		case verdict == Unknown && r.failure == relay.UpstreamRefused:
			verdict = Refused
		}
	}
	return verdict
}

// closeOthers closes the connections of tries that come too late.
func closeOthers(results <-chan try, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

func (d *Dialer) pick(tried []netip.AddrPort) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.choice.Pick(clock.Now(), rand.IntN, tried)
	return p.Address, ok
}

// try makes one try at a peer.
func (d *Dialer) try(ctx context.Context, peer netip.AddrPort, target string) try {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	conn, failure := d.connect(ctx, peer, target)
	if conn == nil && !errors.Is(ctx.Err(), context.Canceled) {
		d.failed(peer, failure)
	}
	return try{peer, conn, failure}
}

// connect connects to the upstream through a peer. A nil connection means a failure.
func (d *Dialer) connect(ctx context.Context, peer netip.AddrPort, target string) (net.Conn, relay.Failure) {
	nd := net.Dialer{LocalAddr: d.local, KeepAliveConfig: keepAlive}
	conn, err := nd.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, relay.Unreachable
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	failure, err := handshake(conn, peer, target)
	if err != nil || !stop() {
		_ = conn.Close()
		return nil, failure
	}
	return conn, failure
}

var errRejected = errors.New("relay: rejected")

// handshake asks a peer for a connection to an upstream. The failure is valid with an error.
func handshake(conn net.Conn, peer netip.AddrPort, target string) (relay.Failure, error) {
	head := "CONNECT " + peer.String() + " HTTP/1.1\r\nHost: " + peer.String() + "\r\n" +
		headerUpstream + ": " + target + "\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return relay.Unreachable, err
	}
	r := bufio.NewReaderSize(conn, maxResponseHead)
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return relay.Unreachable, err
	}
	if resp.StatusCode != http.StatusOK {
		return parseFailure(resp), errRejected
	}
	if r.Buffered() > 0 { // an upstream that sends something without a request
		return relay.UpstreamUnreachable, errRejected
	}
	return 0, nil
}

// maxResponseHead bounds the buffer for a peer's response, in bytes.
const maxResponseHead = 512

// parseFailure returns the failure that a response states. A host of an older version, which does
// not relay, states none.
func parseFailure(resp *http.Response) relay.Failure {
	text := resp.Header.Get(headerFailure)
	for _, f := range []relay.Failure{relay.CutOff, relay.Rejected, relay.Busy, relay.UpstreamUnreachable, relay.UpstreamRefused} {
		if text == f.String() {
			return f
		}
	}
	return relay.Unsupported
}

// keepAlive detects the loss of the other host: after 5 s without bytes, three probes, one second
// apart.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

func (d *Dialer) failed(peer netip.AddrPort, f relay.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choice.Failed(clock.Now(), peer, f)
}

func (d *Dialer) newConn(r try) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choice.Opened(r.peer)
	path := d.paths[r.peer]
	if path == nil {
		path = new(reachability.Tracker)
		d.paths[r.peer] = path
	}
	return &Conn{Conn: r.conn, Decoder: new(Decoder), dialer: d, peer: r.peer, path: path,
		name: r.peer.String() + " from " + r.conn.LocalAddr().String()}
}

// Conn is a connection to an upstream through a peer.
type Conn struct {
	net.Conn
	// Decoder decodes the received bytes.
	Decoder *Decoder

	dialer *Dialer
	peer   netip.AddrPort
	path   *reachability.Tracker
	name   string
	closed sync.Once
}

// Name identifies the connection in the logs of both hosts: the peer's address, and this host's
// address and port.
func (c *Conn) Name() string { return c.name }

// Usable reports whether the connection may be used for another request: its peer neither exits nor
// failed recently.
func (c *Conn) Usable() bool {
	if c.Decoder.Leaving() {
		return false
	}
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	return !c.dialer.choice.InCooldown(clock.Now(), c.peer)
}

// Succeeded records that an upstream responded on the connection.
func (c *Conn) Succeeded() { c.path.Succeeded(clock.Now()) }

// Failed records that an upstream did not respond on the connection. If several upstreams in a row
// did not respond through its peer, the peer is not used for a while.
func (c *Conn) Failed(target string) {
	if s, suspected := c.path.Failed(clock.Now(), target, reachability.LostAfter); suspected {
		c.dialer.failed(c.peer, relay.Unreachable)
		c.path.Reject(s) // starts anew after the cooldown
	}
}

// Release records the end of the connection. It may be called more than once.
func (c *Conn) Release() {
	c.closed.Do(func() {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		c.dialer.choice.Closed(c.peer)
		if !c.dialer.choice.HasOpen(c.peer) {
			delete(c.dialer.paths, c.peer)
		}
	})
}

package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	relaychoice "github.com/dapplespindle/dapplespindle/pkg/relay"
)

// cutLinks are the own links of a host, which may be cut.
type cutLinks struct {
	cut   atomic.Bool
	hangs bool // a cut link hangs instead of refusing connections
}

func (l *cutLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case !l.cut.Load():
		return new(net.Dialer).DialContext(ctx, network, address)
	case l.hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return nil, syscall.ECONNREFUSED
	}
}

// countingRelay counts the connections that are asked for.
type countingRelay struct {
	*relay.Dialer
	asked atomic.Int64
}

func (r *countingRelay) Dial(ctx context.Context, target string) (*relay.Conn, *relay.Error) {
	r.asked.Add(1)
	return r.Dialer.Dial(ctx, target)
}

// startCutClient starts a client with a peer through which it reaches all upstreams.
func startCutClient(t testing.TB, links *cutLinks) (*Client, *countingRelay) {
	server := relay.NewServer(relay.ServerConfig{
		Known:      func(netip.Addr) bool { return true },
		Registered: func(string) bool { return true },
		ID:         func(target string) string { return target },
		CutOff:     func() bool { return false },
		Connect: func(ctx context.Context, target string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", TargetAddress(target))
		},
		Events: event.Discard{},
	})
	peer := httptest.NewServer(server)
	t.Cleanup(peer.Close)
	dialer := relay.NewDialer(netip.MustParseAddr("127.0.0.1"))
	dialer.SetPeers("a", []relaychoice.Peer{{Address: netip.MustParseAddrPort(peer.Listener.Addr().String())}})
	r := &countingRelay{Dialer: dialer}
	return startClient(t, Config{DialTimeout: 250 * time.Millisecond, Dial: links.dial, Relay: r}), r
}

func serveOK(_ int, c net.Conn, r *bufio.Reader) {
	for readRequest(r) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// startUpstreams returns the targets of n upstreams.
func startUpstreams(t testing.TB, n int, s script) []string {
	var out []string
	for range n {
		out = append(out, startUpstream(t, s))
	}
	return out
}

// do sends a request and returns how it reached the upstream, and the kind of its failure.
func do(ctx context.Context, c *Client, target string) (via string, kind errkind.Kind) {
	resp, err := c.Do(ctx, target, request("GET", nil))
	if err != nil {
		return "", err.Kind
	}
	return resp.Via, 0
}

// TestRelaysWhenCutOff guards against requests that fail because this host's own links are cut, and
// against a host that keeps to the longer way after they heal.
func TestRelaysWhenCutOff(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		is := is.New(t)
		links := &cutLinks{hangs: hangs}
		client, _ := startCutClient(t, links)
		targets := startUpstreams(t, 4, serveOK)
		links.cut.Store(true)
		for _, target := range targets { // the first ones are needed to see that it is the links
			_, _ = do(testContext(t), client, target)
		}
		for range 3 {
			for _, target := range targets {
				via, kind := do(testContext(t), client, target)
				is.Equal(kind, errkind.Kind(0))
				is.True(via != "")
			}
		}
		links.cut.Store(false)
		healed := time.Now()
		for direct := 0; direct < len(targets); {
			direct = 0
			for _, target := range targets {
				if via, _ := do(testContext(t), client, target); via == "" {
					direct++
				}
			}
			if time.Since(healed) > testWait {
				t.Fatal("requests are still relayed")
			}
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(healed)
		t.Logf("hanging %v: all direct %v after the cut", hangs, took)
		is.True(took < 2*time.Second) // a check every half second, of a quarter of a second
	}
}

// TestCrashIsNoCut guards against peers that are asked for an upstream that crashed: the others are
// reached.
func TestCrashIsNoCut(t *testing.T) {
	is := is.New(t)
	client, peers := startCutClient(t, new(cutLinks))
	targets := startUpstreams(t, 4, serveOK)
	crashed := refusingAddress(t)
	for range 10 {
		for _, target := range targets {
			_, kind := do(testContext(t), client, target)
			is.Equal(kind, errkind.Kind(0))
		}
		_, kind := do(testContext(t), client, crashed)
		is.Equal(kind, errkind.ConnectFailed)
	}
	is.Equal(peers.asked.Load(), int64(0))
}

// cutOff makes the client know that its links are cut.
func cutOff(t testing.TB, c *Client, links *cutLinks) {
	links.cut.Store(true)
	for range 3 {
		_, _ = c.Connect(testContext(t), refusingAddress(t))
	}
	waitForContact(t, c, true)
}

// TestResponseThatEndsWithARelayedConnection guards against a response without a length that is
// cut off on the longer way and passed on as complete.
func TestResponseThatEndsWithARelayedConnection(t *testing.T) {
	is := is.New(t)
	links := new(cutLinks)
	client, _ := startCutClient(t, links)
	respond := func(end func(net.Conn)) string {
		return startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole"))
			end(c)
		})
	}
	orderly := respond(func(net.Conn) {})
	broken := respond(func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) })
	cutOff(t, client, links)
	resp, err := client.Do(testContext(t), orderly, request("GET", nil))
	is.True(err == nil)
	is.Equal(string(resp.Body), "whole")
	_, err = client.Do(testContext(t), broken, request("GET", nil))
	is.Equal(err.Kind, errkind.UpstreamBroken)
}

// TestRelayedRequestThatBreaksMayHaveRun guards against "has not run" for a request on a relayed
// connection that breaks after it was sent: the upstream may have got it.
func TestRelayedRequestThatBreaksMayHaveRun(t *testing.T) {
	is := is.New(t)
	links := new(cutLinks)
	client, _ := startCutClient(t, links)
	var runs atomic.Int64
	target := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			runs.Add(1)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	cutOff(t, client, links)
	req := request("POST", []byte("sale"))
	req.NonRepeatable = true
	_, err := client.Do(testContext(t), target, req)
	is.Equal(err.Kind.Answer().Outcome, errkind.Unknown)
	is.Equal(runs.Load(), int64(1)) // it is not sent again
}

// TestLateConnectionIsKept guards against load queries that always end before a relayed connection
// is established, so that none ever is.
func TestLateConnectionIsKept(t *testing.T) {
	is := is.New(t)
	links := &cutLinks{hangs: true}
	client, peers := startCutClient(t, links)
	target := startUpstreams(t, 1, serveOK)[0]
	cutOff(t, client, links)
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	p := client.pool(target)
	r := client.startRace(ctx, p)
	r.startRelay()
	r.abandon(ctx)
	for end := time.Now().Add(testWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		kept := len(p.idle)
		p.mu.Unlock()
		if kept > 0 {
			break
		}
	}
	asked := peers.asked.Load()
	via, kind := do(testContext(t), client, target)
	is.Equal(kind, errkind.Kind(0))
	is.True(via != "")
	is.Equal(peers.asked.Load(), asked)
}

// BenchmarkRelayed measures a request and its response over this host's own links and through a peer
// in the same process, whose work is included.
func BenchmarkRelayed(b *testing.B) {
	for name, cut := range map[string]bool{"direct": false, "relayed": true} {
		b.Run(name, func(b *testing.B) {
			links := new(cutLinks)
			client, _ := startCutClient(b, links)
			target := startUpstreams(b, 1, serveOK)[0]
			if cut {
				cutOff(b, client, links)
			}
			for b.Loop() {
				if _, err := client.Do(context.Background(), target, request("GET", nil)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestIdleHostRegainsContact guards against a host without requests of its own that says for ever
// that it is cut off, and relays nothing.
func TestIdleHostRegainsContact(t *testing.T) {
	links := new(cutLinks)
	client, _ := startCutClient(t, links)
	target := startUpstreams(t, 1, serveOK)[0]
	links.cut.Store(true)
	for _, other := range []string{target, refusingAddress(t), refusingAddress(t)} { // for another host
		_, _ = client.Connect(testContext(t), other)
	}
	waitForContact(t, client, true)
	links.cut.Store(false)
	waitForContact(t, client, false)
}

// TestCrashesSeenByIdleHelper guards against a host that takes itself for cut off because upstreams
// crashed to which it connected for others.
func TestCrashesSeenByIdleHelper(t *testing.T) {
	is := is.New(t)
	client, _ := startCutClient(t, new(cutLinks))
	target := startUpstreams(t, 1, serveOK)[0]
	_, kind := do(testContext(t), client, target)
	is.Equal(kind, errkind.Kind(0))
	for range 5 {
		_, _ = client.Connect(testContext(t), refusingAddress(t))
	}
	time.Sleep(300 * time.Millisecond) // longer than a check takes
	is.True(!client.ContactLost())
}

// waitForContact waits until the client considers contact lost, or regained.
func waitForContact(t testing.TB, c *Client, lost bool) {
	t.Helper()
	for end := time.Now().Add(testWait); c.ContactLost() != lost; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("contact lost: %v, want %v", c.ContactLost(), lost)
		}
	}
}

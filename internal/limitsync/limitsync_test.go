package limitsync

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	limitsv1 "github.com/dapplespindle/dapplespindle/api/limits/v1"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// host is a Broadcaster with its registry and the changes that it was notified of.
type host struct {
	*Broadcaster
	address  string
	registry *ratelimit.Registry
	changes  chan []*ratelimit.State
	loop     *control.Loop
}

// startHost starts a host that sends updates to the given addresses. It repeats them once its
// loop runs.
func startHost(t *testing.T, peers ...string) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	h := &host{address: ln.Addr().String(), registry: ratelimit.NewRegistry(timeslot.Single()), changes: make(chan []*ratelimit.State, 16), loop: control.NewLoop()}
	server := peer.NewServer(h.address, nil)
	h.Broadcaster = New(Config{
		Loop:      h.loop,
		Server:    server,
		Pool:      peer.NewPool(nil),
		Peers:     func() []string { return append([]string(nil), peers...) },
		SlotOrder: func() []string { return append([]string{h.address, ""}, peers...) },
		Registry:  h.registry,
		OnUpdate:  func(changed []*ratelimit.State) { h.changes <- changed },
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return h
}

// limit makes a host observe a limit of an upstream.
func (h *host) limit(id string, perSecond float64) *ratelimit.State {
	s := h.registry.Acquire(id, 0)
	now := time.Now()
	s.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: perSecond}, ratelimit.Answer)
	return s
}

// TestUpdatesArrive checks that a peer receives a change when it is broadcast, and a limit that
// was not broadcast when updates are repeated.
func TestUpdatesArrive(t *testing.T) {
	is := is.New(t)
	a := startHost(t)
	known := a.registry.Acquire("i-1", 0)
	other := a.registry.Acquire("i-2", 0)
	b := startHost(t, a.address)
	s := b.limit("i-1", 1.2)
	b.Broadcast(s)
	is.Equal(<-a.changes, []*ratelimit.State{known})
	is.Equal(known.Limit(), s.Limit())
	b.limit("i-2", 3)
	go b.loop.Run(t.Context())
	is.Equal(<-a.changes, []*ratelimit.State{other})
	now := time.Now()
	s.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Unlimited}, ratelimit.Answer)
	b.Broadcast(s)
	is.Equal(<-a.changes, []*ratelimit.State{known})
	is.True(!known.Limited())
}

// TestBorrow checks that a host lends a slot that it has, and lends it once. The first call also
// establishes the connection and may time out because of this: the slot is lost then, and the
// test waits for the next one.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	a := startHost(t)
	b := startHost(t, a.address)
	s := a.limit("i-1", 0.5)
	lent := false
	for until := time.Now().Add(20 * time.Second); !lent && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		lent = s.Open(time.Now()) && b.Borrow(t.Context(), 2, s.Server())
	}
	is.True(lent)
	is.True(!s.Open(time.Now()))
	is.True(!b.Borrow(t.Context(), 2, s.Server()))
	is.True(!b.Borrow(t.Context(), 1, s.Server())) // considered dead
	is.True(!b.Borrow(t.Context(), 3, s.Server())) // no such host
}

// TestRefusedMessages checks that limits which no host can send are rejected.
func TestRefusedMessages(t *testing.T) {
	h := startHost(t)
	for _, m := range []*limitsv1.Limit{{PerSecond: -1}, {AgeUs: -1}, {AgeUs: 1 << 62}} {
		is := is.New(t)
		_, err := server{broadcaster: h.Broadcaster}.Tell(t.Context(), &limitsv1.TellRequest{Limits: []*limitsv1.Limit{m}})
		is.Equal(status.Code(err), codes.InvalidArgument)
		is.Equal(len(h.changes), 0)
	}
}

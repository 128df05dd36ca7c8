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

// host is a teller with what it knows and was told.
type host struct {
	*Broadcaster
	address string
	book    *ratelimit.Registry
	heard   chan []*ratelimit.State
	loop    *control.Loop
}

// begin starts a host that tells those whose addresses are given. Its repeats begin with
// its loop.
func begin(t *testing.T, peers ...string) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	h := &host{address: ln.Addr().String(), book: ratelimit.NewRegistry(timeslot.Single()), heard: make(chan []*ratelimit.State, 16), loop: control.NewLoop()}
	server := peer.NewServer(h.address, nil)
	h.Broadcaster = New(Config{
		Loop:      h.loop,
		Server:    server,
		Pool:      peer.NewPool(nil),
		Peers:     func() []string { return append([]string(nil), peers...) },
		SlotOrder: func() []string { return append([]string{h.address, ""}, peers...) },
		Book:      h.book,
		OnUpdate:  func(changed []*ratelimit.State) { h.heard <- changed },
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return h
}

// limit makes an upstream name a limit to a host.
func (h *host) limit(id string, perSecond float64) *ratelimit.State {
	s := h.book.Acquire(id, 0)
	now := time.Now()
	s.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: perSecond}, ratelimit.Answer)
	return s
}

// TestTold: what has changed, and what is repeated to a host that missed it.
func TestTold(t *testing.T) {
	is := is.New(t)
	a := begin(t)
	known := a.book.Acquire("i-1", 0)
	other := a.book.Acquire("i-2", 0)
	b := begin(t, a.address)
	s := b.limit("i-1", 1.2)
	b.Broadcast(s)
	is.Equal(<-a.heard, []*ratelimit.State{known})
	is.Equal(known.Limit(), s.Limit())
	b.limit("i-2", 3)
	go b.loop.Run(t.Context())
	is.Equal(<-a.heard, []*ratelimit.State{other})
	now := time.Now()
	s.Observe(now, now, ratelimit.Limit{Kind: ratelimit.Unlimited}, ratelimit.Answer)
	b.Broadcast(s)
	is.Equal(<-a.heard, []*ratelimit.State{known})
	is.True(!known.Limited())
}

// TestBorrow: a host lends a turn that it has, once. The first question also makes the
// connection, and may take too long for that: the turn is lost then, and the next one comes.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	a := begin(t)
	b := begin(t, a.address)
	s := a.limit("i-1", 0.5)
	lent := false
	for until := time.Now().Add(20 * time.Second); !lent && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		lent = s.Open(time.Now()) && b.Borrow(t.Context(), 2, s.Server())
	}
	is.True(lent)
	is.True(!s.Open(time.Now()))
	is.True(!b.Borrow(t.Context(), 2, s.Server()))
	is.True(!b.Borrow(t.Context(), 1, s.Server())) // held for dead
	is.True(!b.Borrow(t.Context(), 3, s.Server())) // there is no such host
}

// TestRefusedMessages: what no host tells.
func TestRefusedMessages(t *testing.T) {
	h := begin(t)
	for _, m := range []*limitsv1.Limit{{PerSecond: -1}, {AgeUs: -1}, {AgeUs: 1 << 62}} {
		is := is.New(t)
		_, err := server{teller: h.Broadcaster}.Tell(t.Context(), &limitsv1.TellRequest{Limits: []*limitsv1.Limit{m}})
		is.Equal(status.Code(err), codes.InvalidArgument)
		is.Equal(len(h.heard), 0)
	}
}

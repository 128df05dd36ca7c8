// Package limitsync sends the rate limits that upstreams announce to the other entry hosts,
// over gRPC, and borrows time slots from them.
package limitsync

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	limitsv1 "github.com/dapplespindle/dapplespindle/api/limits/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

const (
	// maxLimits bounds the number of limits in one message, which is then at most 40 KB.
	maxLimits = 1024
	// callTimeout bounds one call. The updates of a call that fails are repeated.
	callTimeout = 500 * time.Millisecond
	// borrowTimeout bounds the call that asks one host for a time slot. A request waits for
	// it, and the farthest host is a few milliseconds away.
	borrowTimeout = 20 * time.Millisecond
)

// Config is what New needs. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server is the gRPC server for peers; New must be called before it serves.
	Server *peer.Server
	// Pool holds the connections to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts. It may be called from any
	// goroutine.
	Peers func() []string
	// SlotOrder returns the addresses of all hosts in the order of their time slots, with an
	// empty string for a host that must not be asked for a slot. It may be called from any
	// goroutine.
	SlotOrder func() []string
	// Registry holds the limits that this host knows.
	Registry *ratelimit.Registry
	// OnUpdate is called with the states that the update of a peer has changed. It may be
	// called from any goroutine.
	OnUpdate func([]*ratelimit.State)
}

// Broadcaster sends limits to peers, receives theirs, and borrows time slots from them.
type Broadcaster struct {
	conf Config
}

// server handles the calls of peers.
type server struct {
	limitsv1.UnimplementedLimitsServer
	broadcaster *Broadcaster
}

// New returns a Broadcaster that is registered with the control loop and the server for peers.
func New(conf Config) *Broadcaster {
	b := &Broadcaster{conf: conf}
	limitsv1.RegisterLimitsServer(conf.Server, server{broadcaster: b})
	conf.Loop.Every(gossip.RepeatInterval, b.repeat)
	return b
}

// Broadcast sends what is currently known of a limit to all hosts.
func (b *Broadcaster) Broadcast(s *ratelimit.State) {
	if update, ok := s.Update(clock.Now()); ok {
		b.send(b.conf.Peers(), []ratelimit.Update{update})
	}
}

// repeat sends updates again to a few hosts, which may have missed them.
func (b *Broadcaster) repeat(now time.Time) {
	known := b.conf.Registry.Updates(now)
	if len(known) == 0 {
		return
	}
	b.send(gossip.Sample(b.conf.Peers(), gossip.RepeatFanOut, rand.IntN), gossip.Sample(known, maxLimits, rand.IntN))
}

// send sends updates to each of the hosts, without waiting for them. A host that cannot be
// reached receives the updates when they are repeated.
func (b *Broadcaster) send(peers []string, updates []ratelimit.Update) {
	req := &limitsv1.TellRequest{Limits: encode(updates)}
	b.conf.Pool.Broadcast(peers, callTimeout, func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := limitsv1.NewLimitsClient(c).Tell(ctx, req)
		return err
	})
}

// Tell implements limitsv1.LimitsServer.
func (s server) Tell(_ context.Context, req *limitsv1.TellRequest) (*limitsv1.TellResponse, error) {
	updates := decode(req.GetLimits())
	for i := range updates {
		if err := updates[i].Validate(); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
	}
	if changed := s.broadcaster.conf.Registry.ApplyPeerUpdates(clock.Now(), updates); len(changed) > 0 {
		s.broadcaster.conf.OnUpdate(changed)
	}
	return new(limitsv1.TellResponse), nil
}

// Borrow implements proxy.SlotBorrower. A host that does not respond lends no slot.
func (b *Broadcaster) Borrow(ctx context.Context, host int, server ratelimit.Server) bool {
	hosts := b.conf.SlotOrder()
	if host >= len(hosts) || hosts[host] == "" {
		return false
	}
	conn, err := b.conf.Pool.Conn(hosts[host])
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	resp, err := limitsv1.NewLimitsClient(conn).Borrow(ctx, &limitsv1.BorrowRequest{Upstream: server.IDHash, Born: server.StartedAt})
	return err == nil && resp.GetLent()
}

// Borrow implements limitsv1.LimitsServer. It lends a time slot of this host to a peer.
func (s server) Borrow(_ context.Context, req *limitsv1.BorrowRequest) (*limitsv1.BorrowResponse, error) {
	upstream := ratelimit.Server{IDHash: req.GetUpstream(), StartedAt: req.GetBorn()}
	return &limitsv1.BorrowResponse{Lent: s.broadcaster.conf.Registry.Lend(clock.Now(), upstream)}, nil
}

func encode(updates []ratelimit.Update) []*limitsv1.Limit {
	var out []*limitsv1.Limit
	for _, u := range updates {
		out = append(out, &limitsv1.Limit{
			Upstream:  u.Server.IDHash,
			Born:      u.Server.StartedAt,
			PerSecond: u.PerSecond,
			Ended:     u.Ended,
			AgeUs:     u.Age.Microseconds(),
		})
	}
	return out
}

func decode(limits []*limitsv1.Limit) []ratelimit.Update {
	var out []ratelimit.Update
	for _, l := range limits {
		out = append(out, ratelimit.Update{
			Server:    ratelimit.Server{IDHash: l.GetUpstream(), StartedAt: l.GetBorn()},
			PerSecond: l.GetPerSecond(),
			Ended:     l.GetEnded(),
			Age:       ratelimit.ParseAge(l.GetAgeUs()),
		})
	}
	return out
}

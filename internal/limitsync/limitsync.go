// Package limitsync tells the other entry hosts, over gRPC, of the limits that upstreams
// name.
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
	// maxLimits bounds the limits of one message; 40 KB.
	maxLimits = 1024
	// callTimeout bounds one call. What it would have told is repeated.
	callTimeout = 500 * time.Millisecond
	// borrowTimeout bounds asking one host for a turn. The farthest is a few milliseconds
	// away, and a request waits.
	borrowTimeout = 20 * time.Millisecond
)

// Config is what New needs. All fields are required.
type Config struct {
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Server is where peers reach this host; New must be called before it serves.
	Server *peer.Server
	// Pool connects to peers.
	Pool *peer.Pool
	// Peers returns the addresses of the other entry hosts. It runs on any goroutine.
	Peers func() []string
	// SlotOrder returns the addresses of all hosts in the order of their turns; empty for one
	// that is not to be asked. It runs on any goroutine.
	SlotOrder func() []string
	// Book holds what this host knows.
	Book *ratelimit.Registry
	// OnUpdate is told which upstreams' limits a peer's news have changed. It runs on any
	// goroutine.
	OnUpdate func([]*ratelimit.State)
}

// Broadcaster tells peers of limits, hears them, and asks peers for turns.
type Broadcaster struct {
	conf Config
}

// server answers peers.
type server struct {
	limitsv1.UnimplementedLimitsServer
	teller *Broadcaster
}

// New registers a teller with the loop and the peers' server.
func New(conf Config) *Broadcaster {
	t := &Broadcaster{conf: conf}
	limitsv1.RegisterLimitsServer(conf.Server, server{teller: t})
	conf.Loop.Every(gossip.RepeatInterval, t.repeat)
	return t
}

// Broadcast tells all hosts what is now known of a limit.
func (t *Broadcaster) Broadcast(s *ratelimit.State) {
	if news, ok := s.Update(clock.Now()); ok {
		t.tell(t.conf.Peers(), []ratelimit.Update{news})
	}
}

// repeat tells a few hosts what they may have missed.
func (t *Broadcaster) repeat(now time.Time) {
	known := t.conf.Book.Updates(now)
	if len(known) == 0 {
		return
	}
	t.tell(gossip.Sample(t.conf.Peers(), gossip.RepeatFanOut, rand.IntN), gossip.Sample(known, maxLimits, rand.IntN))
}

// tell sends a message to each of the hosts, beside the caller. One that is not reached
// hears it again.
func (t *Broadcaster) tell(peers []string, news []ratelimit.Update) {
	req := &limitsv1.TellRequest{Limits: encode(news)}
	t.conf.Pool.CallAll(peers, callTimeout, func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := limitsv1.NewLimitsClient(c).Tell(ctx, req)
		return err
	})
}

// Tell implements limitsv1.LimitsServer.
func (s server) Tell(_ context.Context, req *limitsv1.TellRequest) (*limitsv1.TellResponse, error) {
	news := decode(req.GetLimits())
	for i := range news {
		if err := news[i].Validate(); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
	}
	if changed := s.teller.conf.Book.ApplyPeerUpdates(clock.Now(), news); len(changed) > 0 {
		s.teller.conf.OnUpdate(changed)
	}
	return new(limitsv1.TellResponse), nil
}

// Borrow implements proxy.SlotBorrower. A host that does not answer lends nothing.
func (t *Broadcaster) Borrow(ctx context.Context, host int, server ratelimit.Server) bool {
	inTurn := t.conf.SlotOrder()
	if host >= len(inTurn) || inTurn[host] == "" {
		return false
	}
	conn, err := t.conf.Pool.Conn(inTurn[host])
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	resp, err := limitsv1.NewLimitsClient(conn).Borrow(ctx, &limitsv1.BorrowRequest{Upstream: server.IDHash, Born: server.StartedAt})
	return err == nil && resp.GetLent()
}

// Borrow lends a turn of this host; it is the server's part of a peer's Borrow.
func (s server) Borrow(_ context.Context, req *limitsv1.BorrowRequest) (*limitsv1.BorrowResponse, error) {
	asked := ratelimit.Server{IDHash: req.GetUpstream(), StartedAt: req.GetBorn()}
	return &limitsv1.BorrowResponse{Lent: s.teller.conf.Book.Lend(clock.Now(), asked)}, nil
}

func encode(news []ratelimit.Update) []*limitsv1.Limit {
	var out []*limitsv1.Limit
	for _, n := range news {
		out = append(out, &limitsv1.Limit{
			Upstream:  n.Server.IDHash,
			Born:      n.Server.StartedAt,
			PerSecond: n.PerSecond,
			Ended:     n.Ended,
			AgeUs:     n.Age.Microseconds(),
		})
	}
	return out
}

func decode(limits []*limitsv1.Limit) []ratelimit.Update {
	var out []ratelimit.Update
	for _, m := range limits {
		out = append(out, ratelimit.Update{
			Server:    ratelimit.Server{IDHash: m.GetUpstream(), StartedAt: m.GetBorn()},
			PerSecond: m.GetPerSecond(),
			Ended:     m.GetEnded(),
			Age:       ratelimit.ParseAge(m.GetAgeUs()),
		})
	}
	return out
}

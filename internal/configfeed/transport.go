package configfeed

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "github.com/dapplespindle/dapplespindle/api/configsync/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// sendTimeout bounds one delivery.
	sendTimeout = 5 * time.Second
	// maxInFlight bounds the deliveries in flight; further messages are dropped.
	maxInFlight = 256
	// compressMinBytes is the minimum size of a message that is compressed.
	compressMinBytes = 1 << 10
)

// service is the gRPC service that receives messages from peers.
type service struct {
	pb.UnimplementedConfigSyncServer
	feed *Feed
}

// Deliver implements pb.ConfigSyncServer.
func (s *service) Deliver(ctx context.Context, env *pb.Envelope) (*pb.DeliverResponse, error) {
	m := decode(env)
	if m == nil || env.GetFrom() == "" {
		return nil, status.Error(codes.InvalidArgument, "no sender or no known message")
	}
	f := s.feed
	err := f.conf.Loop.Call(ctx, func() { f.apply(f.node.Receive(clock.Now(), env.GetFrom(), m)) })
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &pb.DeliverResponse{}, nil
}

// sender delivers messages in the background.
type sender struct {
	feed     *Feed
	inFlight atomic.Int64
	dropped  atomic.Int64
}

func newSender(f *Feed) *sender { return &sender{feed: f} }

// send sends a message without blocking. Beyond maxInFlight it drops the message and
// reports the number dropped so far.
func (s *sender) send(out configsync.Outgoing) {
	if s.inFlight.Add(1) > maxInFlight {
		s.inFlight.Add(-1)
		s.feed.emit(event.Event{Code: event.ConfigSendDropped, Value: s.dropped.Add(1)})
		return
	}
	go func() {
		defer s.inFlight.Add(-1)
		if err := s.deliver(out); err != nil {
			s.reportFailure(out.To)
		}
	}()
}

func (s *sender) deliver(out configsync.Outgoing) error {
	f := s.feed
	conn, err := f.conf.Pool.Conn(out.To)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	env := encode(f.conf.Options.Self.Address, out.Message)
	var opts []grpc.CallOption
	if proto.Size(env) >= compressMinBytes {
		opts = append(opts, grpc.UseCompressor(gzip.Name))
	}
	_, err = pb.NewConfigSyncClient(conn).Deliver(ctx, env, opts...)
	return err
}

func (s *sender) reportFailure(address string) {
	f := s.feed
	_ = f.conf.Loop.Call(f.ctx, func() { f.apply(f.node.PeerFailed(clock.Now(), address)) })
}

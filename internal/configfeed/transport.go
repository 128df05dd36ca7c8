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
	// maxSending bounds the deliveries under way; more are dropped.
	maxSending = 256
	// compressFrom is the size from which a message is compressed, in bytes.
	compressFrom = 1 << 10
)

// service takes messages from peers.
type service struct {
	pb.UnimplementedConfigSyncServer
	feed *Feed
}

// Deliver implements the published protocol.
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
	feed    *Feed
	sending atomic.Int64
	dropped atomic.Int64
}

func newSender(f *Feed) *sender { return &sender{feed: f} }

// send never blocks. Beyond maxSending it drops and counts.
func (s *sender) send(out configsync.Outgoing) {
	if s.sending.Add(1) > maxSending {
		s.sending.Add(-1)
		s.feed.emit(event.Event{Code: event.ConfigSendDropped, Value: s.dropped.Add(1)})
		return
	}
	go func() {
		defer s.sending.Add(-1)
		if err := s.deliver(out); err != nil {
			s.failed(out.To)
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
	if proto.Size(env) >= compressFrom {
		opts = append(opts, grpc.UseCompressor(gzip.Name))
	}
	_, err = pb.NewConfigSyncClient(conn).Deliver(ctx, env, opts...)
	return err
}

func (s *sender) failed(address string) {
	f := s.feed
	_ = f.conf.Loop.Call(f.ctx, func() { f.apply(f.node.PeerFailed(clock.Now(), address)) })
}

package execution

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// server implements the gRPC service for peers.
type server struct {
	executionv1.UnimplementedExecutionServiceServer
	service *Service
}

// Execute executes a forwarded request. It is forwarded again only if this host
// handed over the tickets or knows their successor.
func (v *server) Execute(ctx context.Context, m *executionv1.ExecuteRequest) (*executionv1.ExecuteResponse, error) {
	ticket, err := atmostonce.ParseTicket(m.GetTicket())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	req := decodeRequest(m, clock.Now())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetTimeoutUs())*time.Microsecond)
	defer cancel()
	return &executionv1.ExecuteResponse{Result: encodeResult(v.service.executeForwarded(ctx, ticket, req))}, nil
}

func (s *Service) executeForwarded(ctx context.Context, t atmostonce.Ticket, req *httpwire.Request) atmostonce.Result {
	if tickets := s.ledgerOf(t); tickets != nil {
		result, _ := s.executeOwned(ctx, tickets, t, req, func(ctx context.Context) *httpwire.Response { return s.conf.Local(ctx, req) })
		return result
	}
	if to, handedOver := s.executingPeer(t); handedOver && to != s.conf.Address {
		return s.forward(ctx, to, t, req)
	}
	return atmostonce.Failed(errkind.New(errkind.IssuerGone, "the issuing process has ended"))
}

// Identify returns the incarnation of this process.
func (v *server) Identify(context.Context, *executionv1.IdentifyRequest) (*executionv1.IdentifyResponse, error) {
	return &executionv1.IdentifyResponse{Incarnation: uint64(v.service.own.sealer.Incarnation())}, nil
}

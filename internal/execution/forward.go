package execution

import (
	"context"
	"net/netip"
	"time"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// forwardMargin is subtracted from the timeout of a forwarded request, to leave time
// for the result to travel back.
const forwardMargin = 10 * time.Millisecond

// forward sends the request to the host that executes its ticket. If the call fails
// for any reason, the outcome is unknown, because the request may have run.
func (s *Service) forward(ctx context.Context, to netip.AddrPort, t atmostonce.Ticket, req *httpwire.Request) atmostonce.Result {
	id := req.Header.Get(headerRequestID)
	s.emit(event.Event{Code: event.RequestForwarded, Request: id, Detail: to.String()})
	resp, err := s.callExecute(ctx, to, t, req)
	if err != nil {
		s.emit(event.Event{Code: event.ForwardFailed, Request: id, Detail: err.Error()})
		return atmostonce.Failed(errkind.New(errkind.IssuerUnreachable, "the issuer gave no answer"))
	}
	return decodeResult(resp.GetResult())
}

func (s *Service) callExecute(ctx context.Context, to netip.AddrPort, t atmostonce.Ticket, req *httpwire.Request) (*executionv1.ExecuteResponse, error) {
	client, err := s.client(to)
	if err != nil {
		return nil, err
	}
	return client.Execute(ctx, encodeRequest(t, req, remainingTime(ctx)))
}

func (s *Service) client(to netip.AddrPort) (executionv1.ExecutionServiceClient, error) {
	conn, err := s.conf.Pool.Conn(to.String())
	if err != nil {
		return nil, err
	}
	return executionv1.NewExecutionServiceClient(conn), nil
}

func remainingTime(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) - forwardMargin
}

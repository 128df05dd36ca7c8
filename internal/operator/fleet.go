package operator

import (
	"context"
	"slices"
	"strings"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

// maxConcurrentQueries is the maximum number of peers that are queried concurrently.
const maxConcurrentQueries = 16

// Status implements operatorv1.OperatorServer.
func (s *Server) Status(ctx context.Context, _ *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	members := s.conf.Fleet.Members()
	out := make([]*operatorv1.HostStatus, len(members))
	s.queryAll(ctx, members, func(ctx context.Context, i int, m Member) {
		out[i] = s.hostStatus(ctx, m)
	})
	slices.SortFunc(out, func(a, b *operatorv1.HostStatus) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	return &operatorv1.StatusResponse{Hosts: out}, nil
}

// hostStatus queries a host for its status. If that fails, it returns what the membership
// knows about the host.
func (s *Server) hostStatus(ctx context.Context, m Member) *operatorv1.HostStatus {
	if m.Self {
		return s.ownStatus(m)
	}
	st, err := s.conf.Peers.Status(ctx, m)
	if err != nil {
		st = &operatorv1.HostStatus{
			Incarnation: m.Incarnation,
			Revision:    m.Revision,
			Digest:      m.Digest,
			Unreachable: reason(err),
		}
	}
	st.Host = m.Host
	st.FailureDomain = m.FailureDomain
	st.State = string(m.State)
	return st
}

func (s *Server) ownStatus(m Member) *operatorv1.HostStatus {
	st := &operatorv1.HostStatus{
		Host:          m.Host,
		FailureDomain: m.FailureDomain,
		State:         string(m.State),
		Incarnation:   m.Incarnation,
		InFlight:      s.conf.Local.InFlight(),
		Build:         s.conf.Build,
		Events:        statsMessage(s.conf.Events.Stats()),
	}
	if state := s.conf.Source.Current(); state != nil {
		st.Revision = state.Revision
		st.Digest = state.Digest
	}
	for _, o := range s.conf.Fleet.Members() {
		if o.State == Alive {
			st.MembersSeen++
		}
	}
	return st
}

// Explain implements operatorv1.OperatorServer.
func (s *Server) Explain(ctx context.Context, req *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	if req.GetRequest() == "" {
		return nil, status.Error(codes.InvalidArgument, "request: is empty; give the X-Request-Id of an answer")
	}
	out := &operatorv1.ExplainResponse{}
	var mu sync.Mutex
	s.queryAll(ctx, s.conf.Fleet.Members(), func(ctx context.Context, _ int, m Member) {
		list, err := s.hostEvents(ctx, m, req.GetRequest())
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Unasked = append(out.Unasked, &operatorv1.UnaskedHost{Host: m.Host, Reason: reason(err)})
			return
		}
		out.Asked++
		out.Events = append(out.Events, list...)
	})
	slices.SortStableFunc(out.Events, func(a, b *operatorv1.Event) int {
		return a.GetAt().AsTime().Compare(b.GetAt().AsTime())
	})
	slices.SortFunc(out.Unasked, func(a, b *operatorv1.UnaskedHost) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	return out, nil
}

func (s *Server) hostEvents(ctx context.Context, m Member, request string) ([]*operatorv1.Event, error) {
	if m.Self {
		return eventMessages(s.conf.Events.Lookup(request)), nil
	}
	return s.conf.Peers.Events(ctx, m, request)
}

// queryAll calls query for each member, up to maxConcurrentQueries at a time, each with a
// timeout of PeerTimeout.
func (s *Server) queryAll(ctx context.Context, members []Member, query func(ctx context.Context, i int, m Member)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			bounded, cancel := context.WithTimeout(ctx, s.conf.PeerTimeout)
			defer cancel()
			query(bounded, i, m)
		})
	}
	wg.Wait()
}

// reason returns the text of an error without the prefix of its gRPC code.
func reason(err error) string {
	if status.Code(err) == codes.DeadlineExceeded {
		return "no answer in time"
	}
	if st, ok := status.FromError(err); ok {
		return st.Message()
	}
	return err.Error()
}

// LookupEvents implements operatorv1.PeerServer.
func (s *Server) LookupEvents(_ context.Context, req *operatorv1.LookupEventsRequest) (*operatorv1.LookupEventsResponse, error) {
	return &operatorv1.LookupEventsResponse{Events: eventMessages(s.conf.Events.Lookup(req.GetRequest()))}, nil
}

// DescribeHost implements operatorv1.PeerServer.
func (s *Server) DescribeHost(context.Context, *operatorv1.DescribeHostRequest) (*operatorv1.DescribeHostResponse, error) {
	for _, m := range s.conf.Fleet.Members() {
		if m.Self {
			return &operatorv1.DescribeHostResponse{Status: s.ownStatus(m)}, nil
		}
	}
	return nil, status.Error(codes.Unavailable, "this entry host is not in its own membership yet")
}

package operator

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

const ledger = `{"name": "ledger", "match": {"path_prefix": "/ledger/"},
  "groups": [{"name": "main", "upstreams": [
    {"id": "ledger-1", "address": "10.0.0.1:80", "failure_domain": "caruaru"},
    {"id": "ledger-2", "address": "10.0.0.2:80", "failure_domain": "petrolina"}]}],
  "rules": [{"name": "sale", "group": "main", "repeat": "non-repeatable"}]}`

// fleet is a FleetView that tests can change.
type fleet struct {
	mu      sync.Mutex
	members []Member
}

func (f *fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Member(nil), f.members...)
}

func (f *fleet) set(i int, change func(*Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.members[i])
}

// idleHost is a HostView without requests in flight.
type idleHost struct{}

func (idleHost) InFlight() int64 { return 0 }

// host is an entry host's operator service on a loopback address.
type host struct {
	published Published
	fleet     fleet
	ring      *events.Ring
	address   string
	client    operatorv1.OperatorClient
}

func startHost(t *testing.T, name string, peers Peers) *host {
	t.Helper()
	is := is.New(t)
	h := &host{ring: events.NewRing(events.Config{})}
	s := New(Config{
		Host: name, Build: "test", Source: &h.published, Fleet: &h.fleet, Local: idleHost{},
		Upstreams: ConfiguredUpstreams{Source: &h.published}, Events: h.ring, Peers: peers,
		PollInterval: time.Millisecond,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	s.Register(server)
	s.RegisterPeer(server)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Stop)
	h.address = ln.Addr().String()
	conn, err := grpc.NewClient(h.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	h.client = operatorv1.NewOperatorClient(conn)
	h.fleet.members = []Member{{Host: name, State: Alive, Self: true, PeerAddress: h.address}}
	return h
}

// publish makes a document the current configuration of h.
func (h *host) publish(t *testing.T, revision uint64, document []byte) {
	t.Helper()
	s, err := config.Parse(document)
	is.New(t).NoErr(err)
	h.published.Store(&plan.State{Revision: revision, Documents: []plan.Document{{Service: s, Revision: revision}}})
}

func (h *host) drain(expected *operatorv1.Version, upstream, operator string) (*operatorv1.Plan, error) {
	return h.client.PlanDrain(context.Background(), &operatorv1.PlanDrainRequest{
		Service: "ledger", Upstream: upstream,
		Options: &operatorv1.PlanOptions{Expected: expected, Operator: operator},
	})
}

func TestConflictNamesTheOtherOperator(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "10.1.0.1", NoPeers{})
	h.publish(t, 7, []byte(ledger))
	described, err := h.client.DescribeService(context.Background(), &operatorv1.DescribeServiceRequest{Name: "ledger"})
	is.NoErr(err)
	base := described.GetVersion()

	first, err := h.drain(base, "ledger-1", "ana")
	is.NoErr(err)
	is.Equal(len(first.GetWarnings()), 0)
	second, err := h.drain(base, "ledger-2", "bia")
	is.NoErr(err)
	is.True(strings.Contains(second.GetWarnings()[0], "ana planned another change"))

	_, err = h.drain(base, "ledger-1", "") // the same plan, without a name
	is.NoErr(err)
	h.publish(t, 8, first.GetDocument())
	_, err = h.drain(base, "ledger-2", "bia")
	is.Equal(status.Code(err), codes.Aborted)
	conflict := status.Convert(err).Details()[0].(*operatorv1.Conflict)
	is.Equal(conflict.GetPlannedBy(), "ana")
	is.Equal(conflict.GetActual().GetRevision(), uint64(8))
	is.Equal(len(conflict.GetChanges()), 1)
	is.Equal(conflict.GetChanges()[0].GetField(), "groups[main].upstreams[ledger-1].state")
}

func TestPlanWarnsOfPlansOnOtherHosts(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(nil)
	defer pool.Close()
	a := startHost(t, "10.1.0.1", NoPeers{})
	b := startHost(t, "10.1.0.2", PeerClient{Connections: pool})
	b.fleet.members = append(b.fleet.members, Member{Host: "10.1.0.1", State: Alive, PeerAddress: a.address})
	a.publish(t, 7, []byte(ledger))
	b.publish(t, 7, []byte(ledger))
	first, err := a.drain(nil, "ledger-1", "ana")
	is.NoErr(err)
	second, err := b.drain(nil, "ledger-2", "bia")
	is.NoErr(err)
	is.True(strings.Contains(second.GetWarnings()[0], "ana planned another change"))
	b.publish(t, 8, first.GetDocument())
	_, err = b.drain(second.GetBase(), "ledger-2", "bia")
	is.Equal(status.Convert(err).Details()[0].(*operatorv1.Conflict).GetPlannedBy(), "ana")
}

// TestOnlyOneOfTwoConcurrentPlansWins publishes the first of two concurrent plans. Follow
// for the other plan must report that it was superseded, and by whose plan.
func TestOnlyOneOfTwoConcurrentPlansWins(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "10.1.0.1", NoPeers{})
	h.publish(t, 7, []byte(ledger))
	plans := make(chan *operatorv1.Plan, 2)
	for _, name := range []string{"ledger-1", "ledger-2"} {
		go func() {
			p, err := h.drain(nil, name, "operator of "+name)
			is.NoErr(err)
			plans <- p
		}()
	}
	won, lost := <-plans, <-plans
	h.publish(t, 8, won.GetDocument())
	is.Equal(last(t, h, follow(won)).GetState(), operatorv1.FollowUpdate_STATE_IN_FORCE)
	update := last(t, h, follow(lost))
	is.Equal(update.GetState(), operatorv1.FollowUpdate_STATE_SUPERSEDED)
	is.True(strings.HasPrefix(update.GetPlannedBy(), "operator of "))
}

func follow(p *operatorv1.Plan) *operatorv1.FollowRequest {
	revision := p.GetBase().GetRevision()
	return &operatorv1.FollowRequest{Key: p.GetKey(), Digest: p.GetDigest(), BaseRevision: &revision}
}

// last reads the updates of a Follow call and returns the final one.
func last(t *testing.T, h *host, req *operatorv1.FollowRequest) *operatorv1.FollowUpdate {
	t.Helper()
	is := is.New(t)
	stream, err := h.client.Follow(context.Background(), req)
	is.NoErr(err)
	for {
		update, err := stream.Recv()
		is.NoErr(err)
		if final(update.GetState()) {
			return update
		}
	}
}

func TestFollowNamesLaggingHosts(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "10.1.0.1", NoPeers{})
	h.publish(t, 7, []byte(ledger))
	h.fleet.members = append(h.fleet.members,
		Member{Host: "10.1.0.2", State: Alive, Revision: 7},
		Member{Host: "10.1.0.3", State: Dead, Revision: 2})
	p, err := h.drain(nil, "ledger-1", "ana")
	is.NoErr(err)
	stream, err := h.client.Follow(context.Background(), follow(p))
	is.NoErr(err)

	update, err := stream.Recv()
	is.NoErr(err)
	is.Equal(update.GetState(), operatorv1.FollowUpdate_STATE_AWAITED)
	is.Equal(len(update.GetLagging()), 2)

	h.publish(t, 8, p.GetDocument())
	update, err = stream.Recv()
	is.NoErr(err)
	is.Equal(update.GetState(), operatorv1.FollowUpdate_STATE_SPREADING)
	is.Equal(update.GetLagging()[0].GetHost(), "10.1.0.2")
	is.Equal(update.GetLagging()[0].GetReason(), "at revision 7, before 8")

	h.fleet.set(1, func(m *Member) { m.Revision, m.Digest = 8, 99 })
	update, err = stream.Recv()
	is.NoErr(err)
	is.Equal(update.GetLagging()[0].GetReason(), "at the same revision with other content")

	h.fleet.set(1, func(m *Member) { m.Digest = 0 })
	update, err = stream.Recv()
	is.NoErr(err)
	is.Equal(update.GetState(), operatorv1.FollowUpdate_STATE_IN_FORCE)
	is.Equal(update.GetHostsInForce(), uint32(2))
}

func TestFollowStates(t *testing.T) {
	s, err := config.Parse([]byte(ledger))
	is.New(t).NoErr(err)
	digest := plan.Digest(s)
	with := func(revision uint64) *plan.State {
		return &plan.State{Revision: 9, Documents: []plan.Document{{Service: s, Revision: revision}}}
	}
	none := &plan.State{Revision: 9}
	tests := []struct {
		name  string
		r     rollout
		state *plan.State
		want  operatorv1.FollowUpdate_State
	}{
		{"digest in force", rollout{digest: digest, base: 7}, with(8), operatorv1.FollowUpdate_STATE_IN_FORCE},
		{"other version", rollout{digest: 1, base: 7}, with(8), operatorv1.FollowUpdate_STATE_SUPERSEDED},
		{"not yet", rollout{digest: 1, base: 8}, with(8), operatorv1.FollowUpdate_STATE_AWAITED},
		{"created by another", rollout{digest: 1}, with(8), operatorv1.FollowUpdate_STATE_SUPERSEDED},
		{"not yet created", rollout{digest: 1}, none, operatorv1.FollowUpdate_STATE_AWAITED},
		{"deleted by another", rollout{digest: 1, base: 7}, none, operatorv1.FollowUpdate_STATE_SUPERSEDED},
		{"deleted", rollout{base: 8}, none, operatorv1.FollowUpdate_STATE_IN_FORCE},
		{"not yet deleted", rollout{base: 8}, with(8), operatorv1.FollowUpdate_STATE_AWAITED},
		{"changed, not deleted", rollout{base: 7}, with(8), operatorv1.FollowUpdate_STATE_SUPERSEDED},
		{"revision", rollout{revision: 9, base: 7}, with(9), operatorv1.FollowUpdate_STATE_IN_FORCE},
		{"revision not yet", rollout{revision: 10, base: 7}, with(9), operatorv1.FollowUpdate_STATE_AWAITED},
		{"revision passed", rollout{revision: 8, base: 7}, with(9), operatorv1.FollowUpdate_STATE_SUPERSEDED},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.r.service = "ledger"
			got := tc.r.check(tc.state, []Member{{Host: "a", State: Alive, Self: true}})
			is.New(t).Equal(got.GetState(), tc.want)
		})
	}
}

func TestExplainQueriesAllHostsAndNamesFailures(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(nil)
	defer pool.Close()
	a := startHost(t, "10.1.0.1", PeerClient{Connections: pool})
	b := startHost(t, "10.1.0.2", NoPeers{})
	a.fleet.members = append(a.fleet.members,
		Member{Host: "10.1.0.2", State: Alive, PeerAddress: b.address},
		Member{Host: "10.1.0.3", State: Suspect, PeerAddress: "127.0.0.1:1"},
		Member{Host: "10.1.0.4", State: Dead})
	at := time.Unix(1_700_000_000, 0)
	b.ring.Emit(event.Event{Code: event.RequestAnswered, Request: "r", At: at.Add(time.Second), EntryHost: "10.1.0.2"})
	a.ring.Emit(event.Event{Code: event.RequestReceived, Request: "r", At: at, EntryHost: "10.1.0.1"})
	a.ring.Emit(event.Event{Code: event.RequestReceived, Request: "other", At: at})
	out, err := a.client.Explain(context.Background(), &operatorv1.ExplainRequest{Request: "r"})
	is.NoErr(err)
	is.Equal(len(out.GetEvents()), 2)
	is.Equal(out.GetEvents()[0].GetEntryHost(), "10.1.0.1")
	is.Equal(out.GetEvents()[1].GetName(), "request-answered")
	is.Equal(out.GetAsked(), uint32(2))
	is.Equal(out.GetUnasked()[0].GetHost(), "10.1.0.3")
	is.Equal(out.GetUnasked()[1].GetReason(), "the membership says that it is dead")

	hosts, err := a.client.Status(context.Background(), &operatorv1.StatusRequest{})
	is.NoErr(err)
	is.Equal(len(hosts.GetHosts()), 4)
	is.Equal(hosts.GetHosts()[1].GetBuild(), "test") // queried over gRPC
	is.True(hosts.GetHosts()[2].GetUnreachable() != "")
}

func TestWatchFilters(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "10.1.0.1", NoPeers{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.ring.Emit(event.Event{Code: event.RequestRefused, Service: "ledger", Reason: "past"})
	stream, err := h.client.Watch(ctx, &operatorv1.WatchRequest{Filter: &operatorv1.Filter{Service: "ledger", MinLevel: "info"}, Recent: 5})
	is.NoErr(err)
	first, err := stream.Recv()
	is.NoErr(err)
	is.Equal(first.GetEvent().GetReason(), "past")
	h.ring.Emit(event.Event{Code: event.RequestAnswered, Service: "ledger"})
	h.ring.Emit(event.Event{Code: event.RequestRefused, Service: "catalogue"})
	h.ring.Emit(event.Event{Code: event.RetrySent, Service: "ledger"})
	second, err := stream.Recv()
	is.NoErr(err)
	is.Equal(second.GetEvent().GetName(), "retry-sent")
	_, err = h.client.Explain(ctx, &operatorv1.ExplainRequest{})
	is.Equal(status.Code(err), codes.InvalidArgument)
}

func TestErrorsHaveCodes(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "10.1.0.1", NoPeers{})
	ctx := context.Background()
	_, err := h.client.ListServices(ctx, &operatorv1.ListServicesRequest{})
	is.Equal(status.Code(err), codes.Unavailable) // no configuration yet
	h.publish(t, 7, []byte(ledger))
	_, err = h.drain(nil, "missing", "")
	is.Equal(status.Code(err), codes.NotFound)
	_, err = h.client.PlanService(ctx, &operatorv1.PlanServiceRequest{Document: []byte(ledger), MustCreate: true})
	is.Equal(status.Code(err), codes.AlreadyExists)
	bad := strings.Replace(ledger, "non-repeatable", "sometimes", 1)
	_, err = h.client.PlanService(ctx, &operatorv1.PlanServiceRequest{Document: []byte(bad)})
	is.Equal(status.Code(err), codes.InvalidArgument)
	problem := status.Convert(err).Details()[0].(*operatorv1.FieldProblem)
	is.Equal(problem.GetField(), "rules[0].repeat")
	_, err = h.client.PlanRule(ctx, &operatorv1.PlanRuleRequest{Service: "ledger", Change: &operatorv1.PlanRuleRequest_Put{Put: []byte(`{"nme": 1}`)}})
	is.Equal(status.Code(err), codes.InvalidArgument)
}

// TestPlanQueriesHostsThatOnlyThePlatformLists checks that a plan takes hosts into account
// that are not in the membership yet. While a fleet starts, a host may be ready seconds
// before it learns of another one, and an operator may have planned there.
func TestPlanQueriesHostsThatOnlyThePlatformLists(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(nil)
	defer pool.Close()
	a := startHost(t, "10.1.0.1", NoPeers{})
	b := startHost(t, "10.1.0.2", PeerClient{Connections: pool})
	b.fleet.members = append(b.fleet.members, Member{Host: "10.1.0.1", State: Unknown, PeerAddress: a.address})
	a.publish(t, 7, []byte(ledger))
	b.publish(t, 7, []byte(ledger))
	_, err := a.drain(nil, "ledger-1", "ana")
	is.NoErr(err)
	second, err := b.drain(nil, "ledger-2", "bia")
	is.NoErr(err)
	is.Equal(len(second.GetWarnings()), 1)
	is.True(strings.Contains(second.GetWarnings()[0], "ana planned another change"))
}

// TestPlanWarnsOfUnreachableHosts checks that a plan names the hosts that could not be
// queried, so that a missing response is not mistaken for the absence of other plans.
func TestPlanWarnsOfUnreachableHosts(t *testing.T) {
	for _, state := range []MemberState{Alive, Suspect, Leaving, Unknown, Dead} {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			h := startHost(t, "10.1.0.1", NoPeers{})
			h.fleet.members = append(h.fleet.members, Member{Host: "10.1.0.2", State: state, PeerAddress: "127.0.0.1:1"})
			h.publish(t, 7, []byte(ledger))
			p, err := h.drain(nil, "ledger-1", "ana")
			is.NoErr(err)
			is.Equal(len(p.GetWarnings()), 1)
			is.True(strings.Contains(p.GetWarnings()[0], "1 entry hosts could not be asked for plans of other operators: 10.1.0.2"))
		})
	}
}

// Package execution carries non-repeatable requests to the one entry host that
// may execute them. The decisions are pkg/atmostonce's; this package adds the
// clock, the locks, the wait of those who ask again, and gRPC between peers.
package execution

import (
	"context"
	"encoding/binary"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Config configures a Service.
type Config struct {
	// Host names this entry host in events.
	Host string
	// Address is the address at which peers reach this process.
	Address netip.AddrPort
	// Ledger bounds the tickets of one incarnation.
	Ledger atmostonce.Config
	// KnownPeer reports whether an address may be forwarded to. A ticket can
	// name any address; nil allows all.
	KnownPeer func(netip.AddrPort) bool
	// Direct reports whether a rule sends without tickets, once by this host;
	// nil means that none does.
	Direct func(*routing.Rule) bool
	// Local routes and runs a request that a peer forwarded. It must not call
	// Execute. It must not be nil.
	Local func(ctx context.Context, req *httpwire.Request) *httpwire.Response
	// Pool connects to peers.
	Pool *peer.Pool
	// Events receives the decisions.
	Events event.Sink
}

// Service executes non-repeatable requests at most once. It implements the
// proxy's Executor and is safe for concurrent use.
type Service struct {
	conf Config
	own  *space

	mu      sync.RWMutex
	adopted map[atmostonce.Incarnation]*space
	moved   map[atmostonce.Incarnation]netip.AddrPort
}

// New returns a service with a new incarnation and secret, both read from
// random, which must be a cryptographic source.
func New(conf Config, random io.Reader) (*Service, error) {
	var incarnation [8]byte
	var secret atmostonce.Secret
	if _, err := io.ReadFull(random, incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "incarnation")
	}
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, errors.Wrap(err, "secret")
	}
	s := &Service{
		conf:    conf,
		adopted: make(map[atmostonce.Incarnation]*space),
		moved:   make(map[atmostonce.Incarnation]netip.AddrPort),
	}
	number := atmostonce.Incarnation(binary.BigEndian.Uint64(incarnation[:]))
	s.own = newSpace(atmostonce.NewSealer(conf.Address, number, secret), atmostonce.New(conf.Ledger, clock.Now()), s.emit)
	return s, nil
}

// Register serves the peers' calls.
func (s *Service) Register(on grpc.ServiceRegistrar) {
	executionv1.RegisterExecutionServiceServer(on, &server{service: s})
}

// Execute implements the proxy's Executor: it runs the request, forwards it to
// the issuer of its ticket, or answers without running it. Every answer but a
// direct rule's offers a fresh ticket, unless the bound is reached.
func (s *Service) Execute(ctx context.Context, req *httpwire.Request, rule *routing.Rule, run func(ctx context.Context) *httpwire.Response) *httpwire.Response {
	id := req.Header.Get(headerRequestID)
	ticket, err := ticketOf(req.Header)
	if err != nil && s.direct(rule) {
		return run(ctx)
	}
	if err != nil {
		return s.offer(responseOf(atmostonce.Failed(err), id), id)
	}
	result, resp := s.dispatch(ctx, ticket, req, run)
	if resp == nil {
		resp = responseOf(result, id)
	}
	return s.offer(resp, id)
}

// direct reports whether a request without a ticket is run. One with a ticket
// keeps its protection when the rule has become direct in between.
func (s *Service) direct(rule *routing.Rule) bool {
	return s.conf.Direct != nil && s.conf.Direct(rule)
}

// offer adds a fresh ticket. A caller who needed one and gets none is told
// that the fleet is short of room: nothing ran.
func (s *Service) offer(resp *httpwire.Response, id string) *httpwire.Response {
	text, err := s.own.issue(id)
	if err != nil {
		if resp.Header.Get(headerError) == errkind.TicketRequired.String() {
			return responseOf(atmostonce.Failed(errkind.New(errkind.Overloaded, err.Error())), id)
		}
		return resp
	}
	resp.Header[HeaderTicket] = []string{text}
	return resp
}

// dispatch finds who executes the ticket.
func (s *Service) dispatch(ctx context.Context, t atmostonce.Ticket, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	if sp := s.space(t); sp != nil {
		return s.owned(ctx, sp, t, req, run)
	}
	to, moved := s.location(t)
	switch {
	case to == s.conf.Address:
		return atmostonce.Failed(errkind.New(errkind.IssuerGone, "the issuing process has ended")), nil
	case !moved && s.conf.KnownPeer != nil && !s.conf.KnownPeer(to):
		return atmostonce.Failed(errkind.New(errkind.IssuerUnreachable, "the issuer is not a known peer")), nil
	default:
		return s.forward(ctx, to, t, req), nil
	}
}

func (s *Service) owned(ctx context.Context, sp *space, t atmostonce.Ticket, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	if sp.sealer.Owner(t) != atmostonce.Local {
		return atmostonce.Failed(errkind.New(errkind.TicketRejected, "the ticket was never issued")), nil
	}
	return sp.execute(ctx, t.Sequence, req, run)
}

// space returns the tickets that this process executes and t claims to be of,
// or nil.
func (s *Service) space(t atmostonce.Ticket) *space {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if _, gone := s.moved[t.Incarnation]; gone {
		return nil
	}
	if t.Incarnation == s.own.sealer.Incarnation() {
		return s.own
	}
	return s.adopted[t.Incarnation]
}

// location returns the peer that executes t, and whether its tickets were
// handed over to it.
func (s *Service) location(t atmostonce.Ticket) (netip.AddrPort, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if to, ok := s.moved[t.Incarnation]; ok {
		return to, true
	}
	return t.Issuer, false
}

func (s *Service) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = s.conf.Host
	s.conf.Events.Emit(e)
}

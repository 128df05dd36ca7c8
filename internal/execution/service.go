// Package execution routes non-repeatable requests to the only entry host that may
// execute them. Package atmostonce makes the decisions; this package adds the clock,
// locking, waiting for a running execution, and gRPC between peers.
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
	// Ledger bounds the ledger of one incarnation.
	Ledger atmostonce.Config
	// KnownPeer reports whether requests may be forwarded to an address. It is
	// needed because a forged ticket can name any address. Nil allows all.
	KnownPeer func(netip.AddrPort) bool
	// Direct reports whether requests of a rule are sent without a ticket, once
	// and by the host that receives them. Nil means none are.
	Direct func(*routing.Rule) bool
	// Local routes and runs a request that a peer forwarded. It must not call
	// Service.Execute. It must not be nil.
	Local func(ctx context.Context, req *httpwire.Request) *httpwire.Response
	// Pool holds the connections to peers.
	Pool *peer.Pool
	// Events receives an event for each decision.
	Events event.Sink
}

// Service executes non-repeatable requests at most once. It implements the
// proxy's Executor and is safe for concurrent use.
type Service struct {
	conf Config
	own  *ticketLedger

	mu         sync.RWMutex
	adopted    map[atmostonce.Incarnation]*ticketLedger
	successors map[atmostonce.Incarnation]netip.AddrPort // executors of tickets that were handed over
}

// New returns a service with a new incarnation and secret, both read from random,
// which must be cryptographically secure.
func New(conf Config, random io.Reader) (*Service, error) {
	var incarnation [8]byte
	var secret atmostonce.Secret
	if _, err := io.ReadFull(random, incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "generate incarnation")
	}
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, errors.Wrap(err, "generate ticket secret")
	}
	s := &Service{
		conf:       conf,
		adopted:    make(map[atmostonce.Incarnation]*ticketLedger),
		successors: make(map[atmostonce.Incarnation]netip.AddrPort),
	}
	number := atmostonce.Incarnation(binary.BigEndian.Uint64(incarnation[:]))
	s.own = newTicketLedger(atmostonce.NewSealer(conf.Address, number, secret), atmostonce.New(conf.Ledger, clock.Now()), s.emit)
	return s, nil
}

// Register registers the gRPC service for peers.
func (s *Service) Register(on grpc.ServiceRegistrar) {
	executionv1.RegisterExecutionServiceServer(on, &server{service: s})
}

// Execute implements the proxy's Executor: it runs the request, forwards it to the
// issuer of its ticket, or responds without running it. Every response carries a new
// ticket, unless the ledger issues none or the request was sent without a ticket
// under a direct rule.
func (s *Service) Execute(ctx context.Context, req *httpwire.Request, rule *routing.Rule, run func(ctx context.Context) *httpwire.Response) *httpwire.Response {
	id := req.Header.Get(headerRequestID)
	ticket, err := ticketFromHeader(req.Header)
	if err != nil && s.runsDirectly(rule) {
		return run(ctx)
	}
	if err != nil {
		return s.attachTicket(newResponse(atmostonce.Failed(err), id), id)
	}
	result, resp := s.dispatch(ctx, ticket, req, run)
	if resp == nil {
		resp = newResponse(result, id)
	}
	return s.attachTicket(resp, id)
}

// runsDirectly reports whether a request without a ticket is run. A request with a
// ticket is executed at most once even if its rule has become direct since the ticket
// was issued.
func (s *Service) runsDirectly(rule *routing.Rule) bool {
	return s.conf.Direct != nil && s.conf.Direct(rule)
}

// attachTicket adds a new ticket to the response. If none can be issued to a caller
// that needs one, the response is "overloaded"; the request was not run.
func (s *Service) attachTicket(resp *httpwire.Response, id string) *httpwire.Response {
	text, err := s.own.issue(id)
	if err != nil {
		if resp.Header.Get(headerError) == errkind.TicketRequired.String() {
			return newResponse(atmostonce.Failed(errkind.New(errkind.Overloaded, err.Error())), id)
		}
		return resp
	}
	resp.Header[HeaderTicket] = []string{text}
	return resp
}

// dispatch executes the request here, forwards it to the host that executes its
// ticket, or refuses it.
func (s *Service) dispatch(ctx context.Context, t atmostonce.Ticket, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	if tickets := s.ledgerOf(t); tickets != nil {
		return s.executeOwned(ctx, tickets, t, req, run)
	}
	to, handedOver := s.executingPeer(t)
	switch {
	case to == s.conf.Address:
		return atmostonce.Failed(errkind.New(errkind.IssuerGone, "the issuing process has ended")), nil
	case !handedOver && s.conf.KnownPeer != nil && !s.conf.KnownPeer(to):
		return atmostonce.Failed(errkind.New(errkind.IssuerUnreachable, "the issuer is not a known peer")), nil
	default:
		return s.forward(ctx, to, t, req), nil
	}
}

func (s *Service) executeOwned(ctx context.Context, tickets *ticketLedger, t atmostonce.Ticket, req *httpwire.Request, run runFunc) (atmostonce.Result, *httpwire.Response) {
	if tickets.sealer.Owner(t) != atmostonce.Local {
		return atmostonce.Failed(errkind.New(errkind.TicketRejected, "the ticket was never issued")), nil
	}
	return tickets.execute(ctx, t.Sequence, req, run)
}

// ledgerOf returns the ledger of the incarnation that t names, or nil if this process
// does not execute its tickets. The ticket is not verified.
func (s *Service) ledgerOf(t atmostonce.Ticket) *ticketLedger {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if _, gone := s.successors[t.Incarnation]; gone {
		return nil
	}
	if t.Incarnation == s.own.sealer.Incarnation() {
		return s.own
	}
	return s.adopted[t.Incarnation]
}

// executingPeer returns the address of the peer that executes t, and whether the
// ticket was handed over to that peer.
func (s *Service) executingPeer(t atmostonce.Ticket) (netip.AddrPort, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if to, ok := s.successors[t.Incarnation]; ok {
		return to, true
	}
	return t.Issuer, false
}

func (s *Service) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = s.conf.Host
	s.conf.Events.Emit(e)
}

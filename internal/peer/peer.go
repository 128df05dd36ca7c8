// Package peer provides gRPC between entry hosts: a server on which other packages
// register their services, and a pool with one connection per peer address.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// MaxMessageBytes bounds one message between peers, in bytes. It is large enough for a
// document of one megabyte and for a forwarded request with its body.
const MaxMessageBytes = 32 << 20

// connectParams bounds the backoff so that a peer that was unreachable for long is
// retried within about a second: peers must reconnect quickly to a host that restarts.
var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  100 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   time.Second,
	},
	MinConnectTimeout: 2 * time.Second,
}

// Server is a gRPC server for peers.
type Server struct {
	*grpc.Server
	address  string
	listener net.Listener // nil before Bind
}

// NewServer returns a server that will listen on address, as IP:port. With nil
// credentials it serves without TLS.
func NewServer(address string, creds credentials.TransportCredentials) *Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	s := grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes))
	return &Server{Server: s, address: address}
}

// Bind opens the listener.
func (s *Server) Bind() error {
	ln, err := net.Listen("tcp", s.address)
	s.listener = ln
	return err
}

// Unbind closes the listener of a server that was not started.
func (s *Server) Unbind() { _ = s.listener.Close() }

// Start serves in the background. It opens the listener unless Bind has.
func (s *Server) Start() error {
	if s.listener == nil {
		if err := s.Bind(); err != nil {
			return errors.Wrap(err, "start gRPC listener")
		}
	}
	go func() { _ = s.Serve(s.listener) }()
	return nil
}

// Pool holds one connection per peer address, created on first use.
type Pool struct {
	creds credentials.TransportCredentials
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool. With nil credentials it connects without TLS.
func NewPool(creds credentials.TransportCredentials) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Pool{creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

// Conn returns the connection to address, as IP:port. It does not wait for the
// connection to be established.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(connectParams),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)))
	if err != nil {
		return nil, errors.Wrap(err, "create peer connection")
	}
	p.conns[address] = c
	return c, nil
}

// Remove closes and removes the connection to a peer that left the fleet.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		_ = c.Close()
		delete(p.conns, address)
	}
}

// Close closes and removes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		_ = c.Close()
		delete(p.conns, a)
	}
}

// Broadcast calls all peers concurrently, each with the timeout, and returns immediately.
// It ignores errors: it is for updates that are sent repeatedly, so that a failed call is
// equivalent to a lost message.
func (p *Pool) Broadcast(peers []string, timeout time.Duration, call func(context.Context, *grpc.ClientConn) error) {
	for _, address := range peers {
		go func() {
			c, err := p.Conn(address)
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_ = call(ctx, c)
		}()
	}
}

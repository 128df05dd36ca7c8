package httpwire

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Handler serves one request. Serve runs on its own goroutine; ctx ends when
// the caller's connection closes. Serve must return a response with a status.
type Handler interface {
	Serve(ctx context.Context, req *Request) *Response
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the IP:port to listen on.
	Address string
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// Handler serves the requests.
	Handler Handler
}

// Server accepts callers' connections.
type Server struct {
	conf     ServerConfig
	engine   *nbhttp.Engine
	inFlight atomic.Int64
}

// NewServer returns a server that is not yet listening.
func NewServer(conf ServerConfig) *Server {
	s := &Server{conf: conf}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "callers",
		Network:         "tcp",
		Addrs:           []string{conf.Address},
		MaxHTTPBodySize: conf.MaxBodyBytes,
		ReadLimit:       conf.MaxBodyBytes + maxHeadBytes,
		KeepaliveTime:   conf.IdleTimeout,
		MaxLoad:         maxConnections,
	})
	s.engine.Engine.OnOpen(s.onOpen)
	return s
}

const (
	maxHeadBytes   = 64 << 10
	maxConnections = 100_000
)

// Start opens the listener and begins to serve.
func (s *Server) Start() error {
	return errors.Wrap(s.engine.Start(), "start caller listener")
}

// Addr returns the address that the server listens on, once started.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop closes the listener and every connection.
func (s *Server) Stop() { s.engine.Stop() }

// onOpen runs on the event loop when a connection was accepted. It puts our
// own processor in place of the library's, so that a request is answered
// without holding the connection's executor.
func (s *Server) onOpen(c *nbio.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	sc := &serverConn{server: s, conn: c, ctx: ctx, cancel: cancel}
	parser := nbhttp.NewParser(&nbhttp.Conn{Conn: c}, s.engine, sc, false, nil)
	c.SetSession(parser)
}

func (s *Server) serve(sc *serverConn, req *Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	resp := s.conf.Handler.Serve(sc.ctx, req)
	if err := writeResponse(sc.conn, req, resp); err != nil || !req.keepAlive {
		_ = sc.conn.Close()
		return
	}
	_ = sc.conn.SetReadDeadline(time.Now().Add(s.conf.IdleTimeout))
}

var _ net.Conn = (*nbio.Conn)(nil)

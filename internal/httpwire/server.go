package httpwire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/dapplespindle/dapplespindle/internal/httpwire/framing"
	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Server is an HTTP/1.x server for caller connections.
type Server struct {
	conf      ServerConfig
	engine    socket.Engine
	listener  *listener
	inFlight  atomic.Int64
	buffered  atomic.Int64 // bytes of messages
	stopping  atomic.Bool
	limits    atomic.Pointer[Limits]
	workers   workerPool
	pipeliner ConcurrentHandler // nil if the requests of a connection are served one by one

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// noTimeout effectively disables the engine's timeouts, which close a connection
// without a response. serverConn has its own timers and responds before it closes.
const noTimeout = 100 * 365 * 24 * time.Hour

// Limits bounds what a caller may send on one connection. It can change while the
// server runs.
type Limits struct {
	// HeadBytes and BodyBytes bound a request, in bytes.
	HeadBytes, BodyBytes int
	// HeadTimeout bounds the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time for which a connection without a request stays open.
	IdleTimeout time.Duration
}

func (l *Limits) framing() framing.Limits {
	return framing.Limits{HeadBytes: l.HeadBytes, BodyBytes: l.BodyBytes}
}

// SetLimits replaces the limits of ServerConfig for messages and timeouts that begin
// from now on.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// NewServer returns a server that is not listening yet.
func NewServer(conf ServerConfig) *Server {
	conf = conf.withDefaults()
	s := &Server{conf: conf, conns: make(map[*serverConn]struct{})}
	s.workers.serve = s.serve
	s.pipeliner, _ = conf.Handler.(ConcurrentHandler)
	s.SetLimits(Limits{
		HeadBytes:   conf.MaxHeadBytes,
		BodyBytes:   conf.MaxBodyBytes,
		HeadTimeout: conf.HeadTimeout,
		IdleTimeout: conf.IdleTimeout,
	})
	s.engine.Engine = nbhttp.NewEngine(nbhttp.Config{
		Name:            "callers",
		Network:         "tcp",
		Addrs:           []string{conf.Address},
		Listen:          s.listen,
		MaxHTTPBodySize: conf.MaxBodyBytes,
		ReadLimit:       conf.MaxBodyBytes + conf.MaxHeadBytes,
		KeepaliveTime:   noTimeout,
		MaxLoad:         conf.MaxConnections,
	})
	s.engine.Engine.Engine.OnOpen(s.onOpen)
	s.engine.OnWrittenSize(socket.OnWritten)
	return s
}

// listen returns the listener to the engine.
func (s *Server) listen(string, string) (net.Listener, error) { return s.listener, nil }

// Bind opens the listener.
func (s *Server) Bind() error {
	ln, err := net.Listen("tcp", s.conf.Address)
	if err != nil {
		return err
	}
	s.listener = newListener(ln)
	return nil
}

// Unbind closes the listener of a server that was not started.
func (s *Server) Unbind() { _ = s.listener.Close() }

// Start begins to serve. It opens the listener unless Bind has: an engine that can't open it
// itself hangs at times.
func (s *Server) Start() error {
	if s.listener == nil {
		if err := s.Bind(); err != nil {
			return errors.Wrap(err, "start caller listener")
		}
	}
	return errors.Wrap(s.engine.Start(), "start caller listener")
}

// Addr returns the address that the server listens on. It is valid after Start.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// InFlight returns the number of requests whose response has not been completely
// written yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Connections returns the number of open caller connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Stop closes the listener and every connection, and aborts the requests in flight.
func (s *Server) Stop() {
	s.engine.Stop()
	s.workers.stop()
}

// shutdownPollInterval is how often Shutdown checks whether all connections are closed.
const shutdownPollInterval = 5 * time.Millisecond

// Drain begins a graceful shutdown: connections are still accepted, but every
// response from now on carries "Connection: close", so that callers reconnect
// elsewhere.
func (s *Server) Drain() { s.stopping.Store(true) }

// Shutdown shuts the server down gracefully. It stops accepting connections, sends
// "Connection: close" with every further response, closes idle connections after
// the grace period, and waits for the requests in flight until ctx ends. It returns
// how many requests are left. Stop must be called afterwards.
func (s *Server) Shutdown(ctx context.Context, grace time.Duration) int64 {
	s.stopping.Store(true)
	s.listener.stop()
	graceTimer := time.After(grace)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	closeIdle := false
	for {
		select {
		case <-ctx.Done():
			return s.InFlight()
		case <-graceTimer:
			closeIdle = true
			graceTimer = nil
		case <-ticker.C:
		}
		if closeIdle && s.closeIdle() == 0 {
			return 0
		}
	}
}

// closeIdle closes the idle connections and returns the number of others, on which
// a request is being received or served.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	busy := 0
	for _, c := range conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// onOpen is called for each accepted connection. It installs a serverConn in place
// of the library's parser and executor.
func (s *Server) onOpen(nc *nbio.Conn) {
	c := newServerConn(s, nc)
	socket.SetSession(nc, c)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// serve handles one request, writes the response after those to earlier requests of
// the connection, and lets the connection proceed with the next request.
func (s *Server) serve(c *serverConn, req *Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	resp := s.handle(c, req)
	bodyBytes := int64(len(resp.Body))
	s.buffered.Add(bodyBytes)
	defer s.buffered.Add(-bodyBytes)
	if !c.awaitPreviousResponse(req) {
		return
	}
	c.beginResponse(req, s.stopping.Load())
	if err := c.writeResponse(req, resp); err != nil {
		c.abandon()
		socket.Shutdown(c.conn)
		return
	}
	c.onResponseWritten(req)
}

// handle calls the handler. A panic fails this request, not the process.
func (s *Server) handle(c *serverConn, req *Request) (resp *Response) {
	defer func() {
		if r := recover(); r != nil {
			resp = s.conf.Refuse(c.remote, errkind.Wrap(errkind.Internal, errors.Newf("%v", r), "panic in handler"))
		}
	}()
	if s.memoryExceeded() {
		return s.conf.Refuse(c.remote, errkind.New(errkind.Overloaded, "memory for bodies"))
	}
	bodyBytes := int64(len(req.Body))
	s.buffered.Add(bodyBytes)
	defer s.buffered.Add(-bodyBytes)
	resp = s.conf.Handler.Serve(c.ctx, req)
	if resp == nil || resp.Status < 200 || resp.Status > 599 {
		return s.conf.Refuse(c.remote, errkind.New(errkind.Internal, "handler without an answer"))
	}
	return resp
}

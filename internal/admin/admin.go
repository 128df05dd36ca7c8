// Package admin implements the HTTP server for liveness, readiness, metrics and
// profiles of a daemon.
package admin

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/metrics"
)

const (
	// readHeaderTimeout bounds the time for receiving the headers of a request.
	readHeaderTimeout = time.Second
	// stopTimeout bounds the time that Stop waits for requests in progress.
	stopTimeout = time.Second
)

// Paths that are served. Config.ReadyPath replaces ReadyPath.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Config configures a Server.
type Config struct {
	// Address is the address to listen on, as IP:port.
	Address string
	// ReadyPath is the path that returns 200 while the host accepts requests and 503
	// otherwise. The default is the constant ReadyPath.
	ReadyPath string
	// Metrics is served on MetricsPath unless it is nil.
	Metrics *metrics.Sink
	// Profiles enables the profiles of the Go runtime under /debug/pprof/.
	Profiles bool
}

// Server serves liveness, readiness, metrics and profiles.
type Server struct {
	server   *http.Server
	listener net.Listener // nil before Bind
	ready    atomic.Bool
}

// New returns a server that is not listening yet and reports that it is not ready.
func New(c Config) *Server {
	s := new(Server)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+LivePath, s.serveLive)
	path := c.ReadyPath
	if path == "" {
		path = ReadyPath
	}
	mux.HandleFunc("GET "+path, s.serveReady)
	if c.Metrics != nil {
		mux.Handle("GET "+MetricsPath, metrics.Handler(c.Metrics.Registry()))
	}
	if c.Profiles {
		handleProfiles(mux)
	}
	s.server = &http.Server{Addr: c.Address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// handleProfiles registers the profiles of the Go runtime. The index page lists them.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// Bind opens the listener.
func (s *Server) Bind() error {
	ln, err := net.Listen("tcp", s.server.Addr)
	s.listener = ln
	return err
}

// Unbind closes the listener of a server that was not started.
func (s *Server) Unbind() { _ = s.listener.Close() }

// Start serves in the background. It opens the listener unless Bind has.
func (s *Server) Start() error {
	if s.listener == nil {
		if err := s.Bind(); err != nil {
			return errors.Wrap(err, "start admin listener")
		}
	}
	go func() { _ = s.server.Serve(s.listener) }()
	return nil
}

// Stop closes the listener and waits up to stopTimeout for requests in progress.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// SetReady sets the readiness that the server reports.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) serveLive(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "starting or stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

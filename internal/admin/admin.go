// Package admin serves liveness, readiness and metrics of a daemon.
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

const stopTimeout = time.Second

// The paths of the product itself.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Config says what is served where.
type Config struct {
	// Address is the IP:port to listen on.
	Address string
	// ReadyPath answers 200 while the host takes requests, else 503; empty is ReadyPath.
	ReadyPath string
	// Metrics is served on MetricsPath; nil leaves it out.
	Metrics *metrics.Sink
	// Profiles serves the runtime's profiles under /debug/pprof/.
	Profiles bool
}

// Server serves liveness, readiness and metrics.
type Server struct {
	server *http.Server
	ready  atomic.Bool
}

// New returns a server that is not ready and not yet listening.
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
	s.server = &http.Server{Addr: c.Address, Handler: mux, ReadHeaderTimeout: stopTimeout}
	return s
}

// handleProfiles serves the runtime's profiles; the index lists them.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// Start opens the listener and serves in the background.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.server.Addr)
	if err != nil {
		return errors.Wrap(err, "admin listener")
	}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// Stop closes the listener and waits a moment for what is being answered.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// SetReady sets what readiness answers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) serveLive(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "starting or stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

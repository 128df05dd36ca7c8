package entry

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

const adminStopTimeout = time.Second

// admin serves liveness, readiness and metrics.
type admin struct {
	server *http.Server
	ready  atomic.Bool
}

func newAdmin(address string, m *metrics.Sink, profiles bool) *admin {
	a := new(admin)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", a.serveLive)
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.Handle("GET /metrics", metrics.Handler(m.Registry()))
	if profiles {
		handleProfiles(mux)
	}
	a.server = &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: adminStopTimeout}
	return a
}

// handleProfiles serves the runtime's profiles; the index lists them.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func (a *admin) start() error {
	ln, err := net.Listen("tcp", a.server.Addr)
	if err != nil {
		return errors.Wrap(err, "admin listener")
	}
	go func() { _ = a.server.Serve(ln) }()
	return nil
}

func (a *admin) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	_ = a.server.Shutdown(ctx)
}

func (a *admin) setReady(ready bool) { a.ready.Store(ready) }

func (a *admin) serveLive(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (a *admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.ready.Load() {
		http.Error(w, "starting or stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

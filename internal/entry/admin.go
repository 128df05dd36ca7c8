package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/proxy"
)

const adminStopTimeout = time.Second

// admin serves liveness and readiness.
type admin struct {
	server   *http.Server
	proxy    *proxy.Proxy
	stopping atomic.Bool
}

func newAdmin(address string, p *proxy.Proxy) *admin {
	a := &admin{proxy: p}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", a.live)
	mux.HandleFunc("GET /readyz", a.ready)
	a.server = &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: adminStopTimeout}
	return a
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

func (a *admin) setStopping() { a.stopping.Store(true) }

func (a *admin) live(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (a *admin) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.proxy.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

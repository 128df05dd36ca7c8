// Package entry assembles the daemon of an entry host: the listener for
// callers, the connections to upstreams and peers, the operators' service, and
// the control goroutine that turns published documents into the routing table.
package entry

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/internal/admin"
	"github.com/dapplespindle/dapplespindle/internal/bind"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/configfeed"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/limitsync"
	"github.com/dapplespindle/dapplespindle/internal/logging"
	"github.com/dapplespindle/dapplespindle/internal/members"
	"github.com/dapplespindle/dapplespindle/internal/metrics"
	"github.com/dapplespindle/dapplespindle/internal/notices"
	"github.com/dapplespindle/dapplespindle/internal/operator"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/poisonsync"
	"github.com/dapplespindle/dapplespindle/internal/prober"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/settings"
	"github.com/dapplespindle/dapplespindle/internal/tracing"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Entry is one entry host. New builds its parts; Run starts and stops them.
type Entry struct {
	conf    settings.Entry
	build   string
	host    string
	sink    event.Sink
	ring    *events.Ring
	metrics *metrics.Sink
	tracer  *tracing.Tracer

	loop      *control.Loop
	control   *controller
	members   *members.Members
	feed      *configfeed.Feed
	notices   *notices.Broadcaster
	poison    *poisonsync.Broadcaster
	limits    *limitsync.Broadcaster
	tickets   *execution.Service
	prober    *prober.Prober
	operators *operator.Server

	pool           *peer.Pool
	peerServer     *peer.Server
	operatorServer *peer.Server
	client         *upstream.Client
	proxy          *proxy.Proxy
	server         *httpwire.Server
	admin          *admin.Server
}

// New assembles an entry host from validated settings. Logs are written to w. Background
// work ends with ctx.
func New(ctx context.Context, conf settings.Entry, build string, w io.Writer) (*Entry, error) {
	if err := clock.CheckSupport(); err != nil {
		return nil, errors.Wrap(err, "boot clock")
	}
	e := &Entry{conf: conf, build: build, host: conf.PeerListen, loop: control.NewLoop()}
	steps := []func(context.Context) error{
		func(context.Context) error { return e.buildEvents(w) },
		e.buildTracing,
		func(context.Context) error { return e.buildPeers() },
		func(context.Context) error { return e.buildRequestPath() },
		e.buildControl,
		func(context.Context) error { return e.buildOperators() },
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Check does what New does, but opens no connections: it reads the key files of every
// role and logs problems with certificates to w.
func Check(conf settings.Entry, w io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conf.Operators.TraceEndpoint = "" // a tracer would connect
	_, err := New(ctx, conf, "", w)
	return err
}

func (e *Entry) buildEvents(w io.Writer) error {
	level, err := zerolog.ParseLevel(e.conf.LogLevel)
	if err != nil {
		return err
	}
	e.ring = events.NewRing(events.Config{
		Capacity:       e.conf.Operators.EventCapacity,
		DebugPerSecond: e.conf.Operators.DebugEvents,
	})
	e.metrics = metrics.New()
	e.metrics.AddRing(e.ring.Stats)
	e.sink = events.Fanout{logging.New(w, level), e.ring, e.metrics}
	logging.CaptureLibrary(e.sink)
	return nil
}

func (e *Entry) buildTracing(ctx context.Context) error {
	t, err := tracing.New(ctx, tracing.Config{
		Endpoint: e.conf.Operators.TraceEndpoint,
		Ratio:    e.conf.Operators.TraceRatio,
		Host:     e.host,
		Build:    e.build,
	})
	e.tracer = t
	return err
}

// Run serves until a graceful shutdown has ended. The first signal begins the shutdown,
// the second one ends it at once.
func (e *Entry) Run(ctx context.Context, signals <-chan os.Signal) error {
	loopCtx, stopLoop := context.WithCancel(ctx)
	defer stopLoop()
	if err := e.start(loopCtx); err != nil {
		return err
	}
	defer e.close()
	e.emit(event.Event{Code: event.ProcessStarted})
	clock.OnResume(func(suspended time.Duration) {
		e.emit(event.Event{Code: event.HostSuspended, Value: suspended.Milliseconds()})
	})
	e.newStopper().Run(ctx, signals)
	return nil
}

// bind opens the sockets.
func (e *Entry) bind() error {
	return bind.All(
		bind.Socket{Setting: "listen", Server: e.server},
		bind.Socket{Setting: "admin-listen", Server: e.admin},
		bind.Socket{Setting: "peer-listen", Server: e.peerServer},
		bind.Socket{Setting: "peer-listen", Server: e.members},
		bind.Socket{Setting: "operator-listen", Server: e.operatorServer},
	)
}

// start begins to serve. The server for callers comes last.
func (e *Entry) start(ctx context.Context) error {
	if err := e.bind(); err != nil {
		return err
	}
	go e.loop.Run(ctx)
	steps := []func() error{
		e.client.Start,
		e.peerServer.Start,
		e.operatorServer.Start,
		e.members.Start,
		e.admin.Start,
		e.server.Start,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	go e.prober.Run(ctx)
	return nil
}

// closeTimeout bounds the last messages to peers and trace collectors on exit.
const closeTimeout = time.Second

func (e *Entry) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.server.Stop()
	e.members.Stop(ctx)
	e.operatorServer.Stop()
	e.peerServer.Stop()
	e.pool.Close()
	e.client.Stop()
	e.admin.Stop()
	e.tracer.Stop(ctx)
}

func (e *Entry) emit(ev event.Event) {
	ev.At = time.Now()
	ev.EntryHost = e.host
	e.sink.Emit(ev)
}

// newPlatform returns the client of the platform's services.
func (e *Entry) newPlatform() *platform.Client { return platform.NewClient(e.conf.Platform) }

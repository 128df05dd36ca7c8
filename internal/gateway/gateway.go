// Package gateway assembles an entry host that reads all its state from one store: the
// operators' configuration and the upstreams that register themselves. The hosts of a
// fleet forward to each other what they read from the store.
//
// internal/entry assembles the entry host of the product's own platform, whose hosts
// exchange their own observations.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/internal/admin"
	"github.com/dapplespindle/dapplespindle/internal/bind"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/logging"
	"github.com/dapplespindle/dapplespindle/internal/metrics"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/quotas"
	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/internal/shutdown"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

// Gateway is one entry host. New builds its parts; Run starts and stops them.
type Gateway struct {
	confMu        sync.Mutex
	conf          Settings // guarded by confMu once the process runs
	stopper       *shutdown.Stopper
	sink          event.Sink
	metrics       *metrics.Sink
	output        *logging.NonBlockingWriter
	requestLogger *logging.RequestLogger

	loop      *control.Loop
	control   *controller
	watcher   *storewatch.Watcher
	fleet     *fleet // nil without peers
	hostCount int    // in the fleet, 0 while unknown; owned by the control goroutine
	quotas    *quotas.Enforcer
	notes     *callerNotes
	client    *upstream.Client
	// dialUpstream is the option; nil for the default.
	dialUpstream Dialer
	relayDialer  *relay.Dialer // nil without peers
	proxy        *proxy.Proxy
	// maxKeyStaleness is the setting, for the goroutines that serve requests.
	maxKeyStaleness atomic.Int64
	server          *httpwire.Server
	readyServer     *admin.Server
	metricsServer   *admin.Server // nil without metrics
}

// Dialer opens TCP connections, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Gateway.
type Option func(*Gateway)

// WithUpstreamDialer opens the connections to upstreams with d.
func WithUpstreamDialer(d Dialer) Option { return func(g *Gateway) { g.dialUpstream = d } }

// New assembles an entry host from validated settings. Logs are written to w.
func New(conf Settings, store storewatch.Store, dialect *proxy.Dialect, w io.Writer, options ...Option) (*Gateway, error) {
	if err := clock.CheckSupport(); err != nil {
		return nil, errors.Wrap(err, "boot clock")
	}
	g := &Gateway{conf: conf, loop: control.NewLoop()}
	g.maxKeyStaleness.Store(int64(conf.MaxKeyStaleness))
	for _, o := range options {
		o(g)
	}
	if err := g.buildEvents(w); err != nil {
		return nil, err
	}
	if err := g.buildRequestPath(dialect); err != nil {
		return nil, err
	}
	if err := g.buildControl(store); err != nil {
		return nil, err
	}
	g.readyServer = admin.New(admin.Config{Address: conf.ReadyListen, ReadyPath: conf.ReadyPath})
	if conf.MetricsListen != "" {
		g.metricsServer = admin.New(admin.Config{Address: conf.MetricsListen, Metrics: g.metrics})
	}
	g.stopper = shutdown.New(shutdown.Config{
		Timeouts:   shutdownTimeouts(conf),
		Server:     g.server,
		Ready:      g.control.readyCh,
		SetReady:   g.readyServer.SetReady,
		OnDraining: g.leave,
		Relayed:    g.relayedConnections,
		Emit:       g.emit,
	})
	return g, nil
}

func (g *Gateway) buildEvents(w io.Writer) error {
	level, err := zerolog.ParseLevel(g.conf.LogLevel)
	if err != nil {
		return err
	}
	g.metrics = metrics.New()
	g.output = logging.NewNonBlockingWriter(w)
	log := logging.New(g.output, level)
	g.requestLogger = logging.NewRequestLogger(log)
	other := logging.NewProcessLogger(log)
	g.metrics.AddLog(func() int64 { return g.output.Dropped() + other.Dropped() }, g.requestLogger.Dropped)
	g.sink = hostSink{g.conf.Host, events.Fanout{other, g.metrics}}
	logging.CaptureLibrary(g.sink)
	return nil
}

// hostSink adds this host's name to events.
type hostSink struct {
	host string
	next event.Sink
}

// Emit implements event.Sink.
func (s hostSink) Emit(e event.Event) {
	e.EntryHost = s.host
	if e.At.IsZero() {
		e.At = time.Now()
	}
	s.next.Emit(e)
}

// Limits on the request path.
const (
	// dialTimeout bounds connecting to an upstream. Round trips take less than 10 ms; a
	// host that does not respond in time is down or cut off.
	dialTimeout = 250 * time.Millisecond
	// maxResponseBytes bounds an upstream's response.
	maxResponseBytes = 16 << 20
	// maxRequestBytes bounds a request body unless the configuration sets a lower limit.
	maxRequestBytes = 64 << 20
	// connectionsPerUpstream bounds this host's connections to one upstream, which
	// serves few requests concurrently.
	connectionsPerUpstream = 12
	// minConnections is the least number of connections to one upstream: one for each of
	// the usual number of slots and one for a load query. minConnectionsOfMany replaces it
	// if there are more hosts than connectionHosts: each host then has few requests at a
	// time, and needs one connection for a request and one for a load query.
	minConnections       = 4
	minConnectionsOfMany = 2
	// connectionHosts is the least number of hosts among which an upstream's published
	// connection limit is divided, because the actual number is not known. Few hosts use
	// their whole share.
	connectionHosts = 40
	// upstreamIdleTimeout closes a connection that carried no request for that long.
	upstreamIdleTimeout = 20 * time.Second
	// bufferedBytesDivisor divides the memory into the part that buffered bodies may use
	// before further requests are refused.
	bufferedBytesDivisor = 6
	// allBytesDivisor divides the memory into the part that bodies may use together with
	// upstreams' responses that are being received. The garbage collector lets the total
	// double, and a buffer that grows exists twice for a moment.
	allBytesDivisor = 4
	// bodyTimeout bounds receiving a request body.
	bodyTimeout = 20 * time.Second
)

func (g *Gateway) buildRequestPath(dialect *proxy.Dialect) error {
	relays, err := newRelayDialer(&g.conf)
	if err != nil {
		return err
	}
	g.relayDialer = relays
	g.control = newController(g)
	g.quotas = quotas.New(quotaPeers{g})
	g.notes = newCallerNotes()
	g.metrics.AddNotes(g.notes.droppedNotes)
	g.client = upstream.New(g.clientConfig(dialect))
	g.proxy = proxy.New(g.conf.Host, strconv.FormatInt(time.Now().UnixNano(), 36), g.client, g.sink,
		proxy.WithDialect(dialect),
		proxy.WithLoadQuerier(&loadQuerier{client: g.client, dialect: dialect, events: g.sink, upstreams: g.control, random: rand.Uint64}),
		proxy.WithUpstreams(g.control),
		proxy.WithStartupQueue(),
		proxy.WithQuarantinesOfPeers(g.conf.PeerListen != ""),
		proxy.WithRequestLogger(g.requestLogger),
		proxy.WithSharedBudget(retryShare(g.conf, 0)),
		proxy.WithPoisonNotifier(poisonNotifier{g}),
		proxy.WithSlotBorrower(slotBorrower{g}),
		proxy.WithRetryBorrower(retryBorrower{g}),
		proxy.WithQuotas(&reportingQuotas{Enforcer: g.quotas, events: g.sink}),
		proxy.WithKeysCurrent(g.keysCurrent),
		proxy.WithCrossingCounter(g.metrics),
		proxy.WithCallerNotes(g.notes),
	)
	g.server = httpwire.NewServer(httpwire.ServerConfig{
		Address:          g.conf.Listen,
		MaxBodyBytes:     maxRequestBytes,
		MaxBufferedBytes: g.conf.MemoryBytes / bufferedBytesDivisor,
		BodyTimeout:      bodyTimeout,
		Handler:          g.proxy,
		Refuse:           g.proxy.RefuseUnread,
	})
	return nil
}

func (g *Gateway) clientConfig(dialect *proxy.Dialect) upstream.Config {
	conf := upstream.Config{
		DialTimeout:      dialTimeout,
		IdleTimeout:      upstreamIdleTimeout,
		MaxConnections:   connectionsPerUpstream,
		MaxResponseBytes: maxResponseBytes,
		Attribute:        dialect.Attribute,

		MaxReceivingBytes: g.conf.MemoryBytes / allBytesDivisor,
		HeldBytes:         func() int64 { return g.server.BufferedBytes() },
		Dial:              g.dialUpstream,
		OnLost:            func(target string) { g.proxy.UpstreamLost(target) },
		OnContact:         g.contactChanged,
	}
	if g.relayDialer != nil {
		conf.Relay = g.relayDialer
	}
	return conf
}

// contactChanged reports that contact with all upstreams is lost or regained.
func (g *Gateway) contactChanged(c upstream.Contact) {
	if c.Lost {
		g.emit(event.Event{Code: event.ContactLost})
		return
	}
	g.emit(event.Event{Code: event.ContactRegained, Value: c.LostFor.Milliseconds()})
}

// Timing of the watch on the store and of the synchronization with peers.
const (
	watchWait          = 30 * time.Second // longest wait that the known platforms allow
	initialReadTimeout = 2 * time.Second
	// fullReadTimeout bounds all calls together that read the remainder of the full state;
	// each call has its own timeout too. A store retains the changes made in the meantime
	// for about that long.
	fullReadTimeout = 15 * time.Second
	// fullReadSpread is the time over which hosts that serve with the initial part of the
	// upstreams spread their reads of the others. At 108 KB for each of 473 hosts, these
	// reads occupy a link of 1 Gbit/s for half of that time.
	fullReadSpread = 800 * time.Millisecond
	// soloCheckInterval is how far the watch of a host without peers can be behind after an
	// undetected loss of the store. On the known platforms, a change made before the loss
	// must be applied within three seconds.
	soloCheckInterval = 2600 * time.Millisecond
	checkTimeout      = 700 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer and leaves time to read the store instead.
	fetchTimeout  = 200 * time.Millisecond
	maxWatchDelay = 150 * time.Millisecond
	debounceMin   = 150 * time.Millisecond
	// debounceShare is the longest pause between two watches of a host without peers, as a
	// share of the time within which changes must be applied. The remainder covers the call
	// and its delay.
	debounceShare = 0.65
	retryMin      = 150 * time.Millisecond
	// retryMax is the longest pause before the host that checks the store for the whole
	// fleet checks again whether it has recovered. Upstreams whose lease has expired
	// register again within two seconds.
	retryMax = 500 * time.Millisecond
	// minOutage is shorter than any lease minus the time to notice an outage.
	minOutage = 500 * time.Millisecond
	// recoveryAnnouncePeriod is how long updates announce the end of an outage. Each peer
	// receives at least one update within that time.
	recoveryAnnouncePeriod = 3 * time.Second
)

func (g *Gateway) buildControl(store storewatch.Store) error {
	fleet, err := newFleet(g)
	if err != nil {
		return err
	}
	conf := storewatch.Config{
		Store:              store,
		Sync:               g.syncConfig(),
		OnRead:             func(s *storewatch.State) { g.postBlocking(func() { g.control.applyState(s) }) },
		OnInitialRead:      g.applyInitialState,
		FullReadSpread:     fullReadSpread,
		OnChanges:          func(c *storewatch.Changes) { g.postBlocking(func() { g.control.applyChanges(c) }) },
		OnRecovery:         func(at time.Time) { g.postBlocking(func() { g.control.storeRecovered(at) }) },
		Events:             g.sink,
		WatchWait:          watchWait,
		InitialReadTimeout: initialReadTimeout,
		FullReadTimeout:    fullReadTimeout,
		CheckTimeout:       checkTimeout,
		FetchTimeout:       fetchTimeout,
	}
	if fleet == nil {
		g.control.pools.options.Schedule.Set(clock.Now(), timeslot.Position{Hosts: 1})
	} else {
		g.fleet = fleet
		fleet.setQuotaSeeds()
		conf.Peers = fleet.transport
		conf.Self = fleet.self()
		conf.Sync.StartReadDelay, conf.Sync.StartFetchDelay = fleet.startDelays()
	}
	g.watcher = storewatch.NewWatcher(conf)
	g.loop.Every(tickInterval, g.control.tick)
	g.loop.Every(gossip.RepeatInterval, g.proxy.AnnounceQuarantines)
	g.loop.Every(gossip.RepeatInterval, g.rebroadcastCrashes)
	if g.fleet != nil {
		g.loop.Every(tellInterval, g.fleet.quarantines.tellWaiting)
	}
	g.loop.Every(gossip.RepeatInterval, g.rebroadcastLimits)
	g.loop.Every(availabilityInterval, g.exchangeAvailability)
	g.loop.Every(quotaTickInterval, g.quotas.Tick)
	g.loop.Every(retry.TickInterval, g.proxy.Tick)
	return nil
}

func (g *Gateway) syncConfig() storesync.Config {
	return storesync.Config{
		MaxChangeDelay:         g.conf.maxLearnDelay(),
		SoloCheckInterval:      soloCheckInterval,
		MaxWatchDelay:          maxWatchDelay,
		DebounceMin:            debounceMin,
		DebounceMax:            time.Duration(debounceShare * float64(g.conf.maxLearnDelay())),
		MinOutage:              minOutage,
		RecoveryAnnouncePeriod: recoveryAnnouncePeriod,
		RetryMin:               retryMin,
		RetryMax:               retryMax,
		Jitter:                 rand.Float64,
	}
}

// applyInitialState applies the initial part of the state on the control goroutine, and
// reports whether this host serves with it.
func (g *Gateway) applyInitialState(s *storewatch.State) bool {
	serves := make(chan bool, 1)
	g.postBlocking(func() { serves <- g.control.applyInitialState(s) })
	return <-serves
}

// postBlocking queues control work that must not be dropped. The watcher's goroutine waits
// while the queue is full.
func (g *Gateway) postBlocking(f func()) {
	for !g.loop.Post(f) {
		time.Sleep(postRetryDelay)
	}
}

// postRetryDelay is the delay before another attempt to post to a full queue.
const postRetryDelay = time.Millisecond

// Run serves until a graceful shutdown has ended. The first signal begins the shutdown,
// the second one ends it at once.
func (g *Gateway) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = g.output.Close() }() // flushes queued lines
	if err := g.start(ctx); err != nil {
		return err
	}
	g.emit(event.Event{Code: event.ProcessStarted})
	clock.OnResume(func(suspended time.Duration) { g.resumed(ctx, suspended) })
	g.stopper.Run(ctx, signals)
	if g.fleet != nil {
		g.fleet.stop()
	}
	return nil
}

const (
	// shutdownGrace is how long a host that is shutting down accepts new connections. The
	// platform's load balancer checks readiness each second and acts on two equal responses
	// in a row.
	shutdownGrace = 2800 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is left for the process to exit.
	shutdownMargin = 150 * time.Millisecond
)

func shutdownTimeouts(s Settings) lifecycle.HostConfig {
	deadline := s.StopTimeout - shutdownMargin
	return lifecycle.HostConfig{Grace: min(shutdownGrace, deadline/2), Deadline: deadline}
}

// bind opens the sockets.
func (g *Gateway) bind() error {
	sockets := []bind.Socket{{Setting: "listen", Server: g.server}, {Setting: "ready-listen", Server: g.readyServer}}
	if g.fleet != nil {
		sockets = append(sockets,
			bind.Socket{Setting: "news-port", Server: g.fleet.transport},
			bind.Socket{Setting: "peer-listen", Server: g.fleet.members})
	}
	if g.metricsServer != nil {
		sockets = append(sockets, bind.Socket{Setting: "metrics-listen", Server: g.metricsServer})
	}
	return bind.All(sockets...)
}

// start begins to serve. The fleet and the metrics follow the callers.
func (g *Gateway) start(ctx context.Context) error {
	if err := g.bind(); err != nil {
		return err
	}
	go g.loop.Run(ctx)
	steps := []func() error{g.client.Start, g.readyServer.Start, g.server.Start}
	if g.fleet != nil {
		steps = append(steps, func() error { return g.fleet.start(ctx) })
	}
	if g.metricsServer != nil {
		steps = append(steps, g.metricsServer.Start)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	go g.watcher.Run(ctx)
	return nil
}

// resumed is called after the machine was suspended.
func (g *Gateway) resumed(ctx context.Context, suspended time.Duration) {
	g.emit(event.Event{Code: event.HostSuspended, Value: suspended.Milliseconds()})
	g.watcher.Resumed()
	if g.fleet != nil {
		g.fleet.quarantines.run(ctx)
	}
}

// leave is called when the graceful shutdown begins.
func (g *Gateway) leave() {
	if g.fleet != nil {
		g.fleet.leave()
	}
}

// relayedConnections returns the number of connections that this host relays for others.
func (g *Gateway) relayedConnections() int64 {
	if g.fleet == nil {
		return 0
	}
	return g.fleet.relays.Open()
}

func (g *Gateway) emit(e event.Event) { g.sink.Emit(e) }

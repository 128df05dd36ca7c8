// Package gateway assembles an entry host that takes everything it knows from
// one store: the operators' configuration and the upstreams that register
// themselves. The hosts of a fleet tell one another what the store told them.
//
// internal/entry assembles the entry host of the product's own platform, whose
// hosts tell one another what they know.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/internal/admin"
	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/logging"
	"github.com/dapplespindle/dapplespindle/internal/metrics"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/quotas"
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
	confMu  sync.Mutex
	conf    Settings // guarded by confMu once the process runs
	stopper *shutdown.Stopper
	sink    event.Sink
	metrics *metrics.Sink
	output  *logging.NonBlockingWriter
	trails  *logging.RequestLogger

	loop     *control.Loop
	control  *controller
	follower *storewatch.Watcher
	fleet    *fleet // nil without peers
	hosts    int    // known to be in the fleet, 0 while unknown; of the control goroutine
	quotas   *quotas.Enforcer
	client   *upstream.Client
	proxy    *proxy.Proxy
	// keysKnownWithin is the setting, for traffic goroutines.
	keysKnownWithin atomic.Int64
	server          *httpwire.Server
	ready           *admin.Server
	figures         *admin.Server // nil without metrics
}

// New assembles an entry host from checked settings. Logs go to w.
func New(conf Settings, store storewatch.Store, dialect *proxy.Dialect, w io.Writer) (*Gateway, error) {
	if err := clock.CheckSupport(); err != nil {
		return nil, errors.Wrap(err, "boot clock")
	}
	g := &Gateway{conf: conf, loop: control.NewLoop()}
	g.keysKnownWithin.Store(int64(conf.MaxKeyStaleness))
	if err := g.buildEvents(w); err != nil {
		return nil, err
	}
	g.buildCallPath(dialect)
	if err := g.buildControl(store); err != nil {
		return nil, err
	}
	g.ready = admin.New(admin.Config{Address: conf.ReadyListen, ReadyPath: conf.ReadyPath})
	if conf.MetricsListen != "" {
		g.figures = admin.New(admin.Config{Address: conf.MetricsListen, Metrics: g.metrics})
	}
	g.stopper = shutdown.New(shutdown.Config{
		Timeouts:   stopTimes(conf),
		Server:     g.server,
		Ready:      g.control.served,
		SetReady:   g.ready.SetReady,
		OnDraining: g.leave,
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
	g.trails = logging.NewRequestLogger(log)
	other := logging.NewProcessLogger(log)
	g.metrics.AddLog(func() int64 { return g.output.Dropped() + other.Dropped() }, g.trails.Dropped)
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

// Bounds of the call path.
const (
	// dialTimeout bounds a connection to an upstream: round trips are below 10 ms,
	// and a host that does not answer by then is down or cut off.
	dialTimeout = 250 * time.Millisecond
	// maxAnswerBytes bounds an upstream's answer.
	maxAnswerBytes = 16 << 20
	// maxRequestBytes bounds a request's body unless the configuration says less.
	maxRequestBytes = 64 << 20
	// connectionsPerUpstream bounds this host's connections to one upstream, which
	// serves few requests at once.
	connectionsPerUpstream = 12
	// minConnections is the least for one upstream: the usual slots and a question; and
	// minConnectionsOfMany that where there are more hosts than connectionHosts, each of which
	// has few requests at a time: one of them and a question.
	minConnections       = 4
	minConnectionsOfMany = 2
	// connectionHosts is the least number of hosts among which an upstream's published
	// bound is divided; how many there are is not known. Few use their part.
	connectionHosts = 40
	// upstreamIdle closes a connection that carried no request for that long.
	upstreamIdle = 20 * time.Second
	// keptPart is the part of the memory that bodies may take: upstreams' answers take as much
	// again while they are received, and the collector lets all of it double.
	keptPart = 6
	// bodyTimeout bounds receiving a request body.
	bodyTimeout = 20 * time.Second
)

func (g *Gateway) buildCallPath(dialect *proxy.Dialect) {
	g.control = newController(g)
	g.quotas = quotas.New(roomPeers{g})
	g.client = upstream.New(upstream.Config{
		DialTimeout:      dialTimeout,
		IdleTimeout:      upstreamIdle,
		MaxConnections:   connectionsPerUpstream,
		MaxResponseBytes: maxAnswerBytes,
		Matches:          dialect.Matches,
	})
	g.proxy = proxy.New(g.conf.Host, strconv.FormatInt(time.Now().UnixNano(), 36), g.client, g.sink,
		proxy.WithDialect(dialect),
		proxy.WithLoadQuerier(&asker{client: g.client, dialect: dialect, events: g.sink, told: g.control, random: rand.Uint64}),
		proxy.WithUpstreams(g.control),
		proxy.WithStartupQueue(),
		proxy.WithRequestLogger(g.trails),
		proxy.WithSharedBudget(retryShare(g.conf, 0)),
		proxy.WithPoisonNotifier(poisonNews{g}),
		proxy.WithSlotBorrower(lenders{g}),
		proxy.WithQuotas(&countedQuotas{Enforcer: g.quotas, events: g.sink}),
		proxy.WithKeysCurrent(g.keysKnown),
	)
	g.server = httpwire.NewServer(httpwire.ServerConfig{
		Address:          g.conf.Listen,
		MaxBodyBytes:     maxRequestBytes,
		MaxBufferedBytes: g.conf.MemoryBytes / keptPart,
		BodyTimeout:      bodyTimeout,
		Handler:          g.proxy,
		Refuse:           g.proxy.RefuseUnread,
	})
}

// Times of following the store.
const (
	watchWait   = 30 * time.Second // the most that the platforms known allow
	readTimeout = 2 * time.Second
	// restTimeout bounds all calls that read the rest of what is published, each of which has
	// its own bound: a store keeps the changes that came meanwhile for about that long.
	restTimeout = 15 * time.Second
	// restWithin is the time over which hosts that serve with a part of the upstreams
	// spread their reads of the others: at 108 KB for each of 473 hosts, a link of 1 Gbit/s
	// is busy with them for half of that.
	restWithin = 800 * time.Millisecond
	// aloneEvery is how long the watch of a host without peers can be behind when
	// it lost its store unseen. On the platforms known, what changed before must be
	// in force three seconds after.
	aloneEvery   = 2600 * time.Millisecond
	checkTimeout = 700 * time.Millisecond
	// peerTimeout bounds a question to a peer: the store can still be asked in time.
	peerTimeout = 200 * time.Millisecond
	watchSlack  = 150 * time.Millisecond
	settleMin   = 150 * time.Millisecond
	// settleShare is the longest pause between two watches of a host without peers,
	// as a share of the time in which changes must be in force: the rest is for the
	// call and for slack.
	settleShare = 0.65
	retryMin    = 150 * time.Millisecond
	// retryMax is the longest pause before the host that looks for all asks again
	// whether the store is back: upstreams that lapsed register again within two seconds.
	retryMax = 500 * time.Millisecond
	// minOutage is shorter than any lease less the time to notice an outage.
	minOutage = 500 * time.Millisecond
	// returnedFor is how long peers are told of the end of an outage: each of them
	// is told something by then.
	returnedFor = 3 * time.Second
)

func (g *Gateway) buildControl(store storewatch.Store) error {
	fleet, err := newFleet(g)
	if err != nil {
		return err
	}
	conf := storewatch.Config{
		Store:              store,
		Sync:               g.followConfig(),
		OnRead:             func(s *storewatch.State) { g.surely(func() { g.control.read(s) }) },
		OnInitialRead:      g.readPart,
		FullReadSpread:     restWithin,
		OnChanges:          func(c *storewatch.Changes) { g.surely(func() { g.control.changed(c) }) },
		OnRecovery:         func(at time.Time) { g.surely(func() { g.control.returned(at) }) },
		Events:             g.sink,
		WatchWait:          watchWait,
		InitialReadTimeout: readTimeout,
		FullReadTimeout:    restTimeout,
		CheckTimeout:       checkTimeout,
		FetchTimeout:       peerTimeout,
	}
	if fleet == nil {
		g.control.pools.options.Schedule.Set(clock.Now(), timeslot.Position{Hosts: 1})
	} else {
		g.fleet = fleet
		fleet.quotaSeeds()
		conf.Peers = fleet.news
		conf.Self = fleet.self()
		conf.Sync.StartReadDelay, conf.Sync.StartFetchDelay = fleet.startTimes()
	}
	g.follower = storewatch.NewWatcher(conf)
	g.loop.Every(tickEvery, g.control.tick)
	g.loop.Every(gossip.RepeatInterval, g.repeatDeaths)
	g.loop.Every(gossip.RepeatInterval, g.repeatLimits)
	g.loop.Every(quotasEvery, g.quotas.Tick)
	g.loop.Every(retry.TickInterval, func(time.Time) { g.proxy.Tick() })
	return nil
}

func (g *Gateway) followConfig() storesync.Config {
	return storesync.Config{
		MaxChangeDelay:         g.conf.knownWithin(),
		SoloCheckInterval:      aloneEvery,
		MaxWatchDelay:          watchSlack,
		DebounceMin:            settleMin,
		DebounceMax:            time.Duration(settleShare * float64(g.conf.knownWithin())),
		MinOutage:              minOutage,
		RecoveryAnnouncePeriod: returnedFor,
		RetryMin:               retryMin,
		RetryMax:               retryMax,
		Jitter:                 rand.Float64,
	}
}

// readPart puts a part of what is published in force, and reports whether this host
// serves with it.
func (g *Gateway) readPart(s *storewatch.State) bool {
	serves := make(chan bool, 1)
	g.surely(func() { serves <- g.control.readPart(s) })
	return <-serves
}

// surely queues control work that must not be dropped. The follower's goroutine
// waits while the queue is full.
func (g *Gateway) surely(f func()) {
	for !g.loop.Post(f) {
		time.Sleep(postPause)
	}
}

// postPause is the pause before a full queue is tried again.
const postPause = time.Millisecond

// Run serves until a planned stop is over. A first signal begins the stop, a
// second one ends it at once.
func (g *Gateway) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = g.output.Close() }() // writes what waits
	if err := g.start(ctx); err != nil {
		return err
	}
	g.emit(event.Event{Code: event.ProcessStarted})
	clock.OnResume(g.resumed)
	g.stopper.Run(ctx, signals)
	if g.fleet != nil {
		g.fleet.stop()
	}
	return nil
}

const (
	// acceptWhileStopping is how long a stopping host takes new connections: the
	// platform's balancer asks each second and believes two answers in a row.
	acceptWhileStopping = 2800 * time.Millisecond
	// stopMargin is the time before the end of a stop in which the process ends.
	stopMargin = 150 * time.Millisecond
)

func stopTimes(s Settings) lifecycle.HostConfig {
	deadline := s.StopTimeout - stopMargin
	return lifecycle.HostConfig{Grace: min(acceptWhileStopping, deadline/2), Deadline: deadline}
}

// start opens the sockets. What callers reach comes last.
func (g *Gateway) start(ctx context.Context) error {
	go g.loop.Run(ctx)
	steps := []func() error{g.client.Start, g.ready.Start, g.server.Start}
	if g.fleet != nil {
		steps = append(steps, g.fleet.start)
	}
	if g.figures != nil {
		steps = append(steps, g.figures.Start)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	go g.follower.Run(ctx)
	return nil
}

// resumed is called when the machine was suspended.
func (g *Gateway) resumed(suspended time.Duration) {
	g.emit(event.Event{Code: event.HostSuspended, Value: suspended.Milliseconds()})
	g.follower.Resumed()
}

// leave is called when the planned stop begins.
func (g *Gateway) leave() {
	if g.fleet != nil {
		g.fleet.leave()
	}
}

func (g *Gateway) emit(e event.Event) { g.sink.Emit(e) }

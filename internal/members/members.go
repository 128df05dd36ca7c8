// Package members runs pkg/membership in the daemon: datagrams over UDP, the
// platform's host list, and the control goroutine that owns the core.
package members

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/control"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

// HostList names hosts of the fleet. It may lag and be incomplete.
type HostList struct {
	// Revision orders lists.
	Revision uint64
	// Hosts are the entries.
	Hosts []membership.ListedHost
}

// HostSource reads the list of hosts.
type HostSource interface {
	Hosts(ctx context.Context) (*HostList, error)
}

// Config holds what New needs. Zero durations take their defaults.
type Config struct {
	// Address is where peers reach this host, over UDP. It is bound as it is.
	Address netip.AddrPort
	// FailureDomain is where this host runs.
	FailureDomain string
	// Keys are the fleet keys: the first signs, all are accepted. Without keys
	// datagrams are not authenticated.
	Keys [][]byte
	// Process identifies this process. Default: drawn at random.
	Process uint64
	// Period is the time between two probes. Default: membership.DefaultPeriod.
	Period time.Duration
	// PauseThreshold is the gap that counts as a pause. Default: two periods.
	PauseThreshold time.Duration
	// DeadRetention is how long dead members are kept. Default: 600 periods.
	DeadRetention time.Duration
	// Hosts reads the list of hosts.
	Hosts HostSource
	// OnTick, if not nil, is given the newest view after each tick, on the control
	// goroutine.
	OnTick func(*membership.Snapshot)
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Events receives the decisions.
	Events event.Sink
}

// ErrBusy is returned when the control queue is full; try again later.
var ErrBusy = errors.New("control queue is full")

// Members is membership on this host.
type Members struct {
	conf      Config
	core      *membership.Core // belongs to the control goroutine
	transport *transport
	snapshot  atomic.Pointer[membership.Snapshot]
	started   time.Time
	lastTick  atomic.Int64 // nanoseconds after started
	reported  time.Time    // when refused datagrams were last reported
	refused   int64        // reported so far
	cancel    context.CancelFunc
}

// New prepares membership and registers its tick with the loop.
func New(conf Config) (*Members, error) {
	if len(conf.FailureDomain) > membership.MaxFailureDomainBytes {
		return nil, errors.Newf("failure domain %q is longer than %d bytes", conf.FailureDomain, membership.MaxFailureDomainBytes)
	}
	if !conf.Address.IsValid() || conf.Address.Addr().IsUnspecified() {
		return nil, errors.Newf("peer address %q is not one that peers can reach", conf.Address)
	}
	codec, err := wire.NewCodec(conf.Keys)
	if err != nil {
		return nil, errors.Wrap(err, "fleet key")
	}
	if conf.Period <= 0 {
		conf.Period = membership.DefaultPeriod
	}
	if conf.PauseThreshold <= 0 {
		conf.PauseThreshold = 2 * conf.Period
	}
	conf.Address = netip.AddrPortFrom(conf.Address.Addr().Unmap(), conf.Address.Port())
	now := clock.Now()
	m := &Members{conf: conf, started: now, reported: now}
	m.core = membership.New(now, m.coreConfig(now))
	m.snapshot.Store(m.core.Snapshot())
	m.transport = newTransport(conf.Address, codec, m.receive)
	conf.Loop.Every(conf.Period/membership.TicksPerPeriod, m.tick)
	return m, nil
}

func (m *Members) coreConfig(now time.Time) membership.Config {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	random := rand.New(rand.NewChaCha8(seed))
	process := m.conf.Process
	if process == 0 {
		process = random.Uint64()
	}
	return membership.Config{
		Address:        m.conf.Address,
		FailureDomain:  m.conf.FailureDomain,
		Process:        process,
		Incarnation:    uint64(now.UnixMilli()),
		Period:         m.conf.Period,
		PauseThreshold: m.conf.PauseThreshold,
		DeadRetention:  m.conf.DeadRetention,
		Rand:           random,
	}
}

// Start opens the socket and begins to read the platform's list. The control
// loop must run, or be about to.
func (m *Members) Start() error {
	if err := m.transport.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.readHosts(ctx)
	return nil
}

// Leave tells the peers that this host is about to go. Call it when a planned
// stop begins, not on the control goroutine; membership goes on. It fails only
// with ctx's error.
func (m *Members) Leave(ctx context.Context) error {
	return m.conf.Loop.Call(ctx, func() { m.apply(m.core.Leave(clock.Now())) })
}

// Stop tells the peers that this host is gone, and closes the socket. The
// control loop must still run, else the peers have to find out. Call it not on
// the control goroutine.
func (m *Members) Stop(ctx context.Context) {
	_ = m.conf.Loop.Call(ctx, func() { m.apply(m.core.Stop(clock.Now())) })
	if m.cancel != nil {
		m.cancel()
	}
	m.transport.stop()
}

// Snapshot returns the newest view. It never blocks and is never nil.
func (m *Members) Snapshot() *membership.Snapshot { return m.snapshot.Load() }

// Waking reports whether this process was paused and has not caught up. It
// notices a pause before the control goroutine does, so a traffic goroutine
// that asks right after waking gets the right answer.
func (m *Members) Waking() bool {
	silent := clock.Since(m.started) - time.Duration(m.lastTick.Load())
	return silent > m.conf.PauseThreshold || m.snapshot.Load().Waking
}

// SetMetadata publishes up to 64 bytes with this host's entry, at most every
// five periods; the newest wins. It may be called on any goroutine, and reports
// membership.ErrMetadataTooLong or ErrBusy.
func (m *Members) SetMetadata(metadata []byte) error {
	if len(metadata) > membership.MaxMetadataBytes {
		return membership.ErrMetadataTooLong
	}
	own := slices.Clone(metadata)
	if !m.conf.Loop.Post(func() { _ = m.core.SetMetadata(own) }) {
		return ErrBusy
	}
	return nil
}

// Stats returns the traffic since the start.
func (m *Members) Stats() Stats { return m.transport.stats() }

func (m *Members) tick(now time.Time) {
	m.apply(m.core.Tick(now))
	m.lastTick.Store(int64(now.Sub(m.started)))
	m.reportRefused(now)
	if s := m.core.Snapshot(); s != m.snapshot.Load() {
		m.snapshot.Store(s)
	}
	if m.conf.OnTick != nil {
		m.conf.OnTick(m.snapshot.Load())
	}
}

// receive hands a message to the control goroutine; it reports false when
// that goroutine is behind.
func (m *Members) receive(msg *membership.Message, done func()) bool {
	return m.conf.Loop.Post(func() {
		defer done()
		m.apply(m.core.Receive(clock.Now(), msg))
	})
}

func (m *Members) apply(effects membership.Effects) {
	for _, e := range effects.Events {
		m.emit(e)
	}
	for _, s := range effects.Send {
		m.transport.send(s)
	}
}

func (m *Members) emit(e event.Event) {
	e.At = time.Now()
	e.EntryHost = m.conf.Address.Addr().String()
	m.conf.Events.Emit(e)
}

const refusedReportEvery = 10 * time.Second

// reportRefused reports refused datagrams, many in one event.
func (m *Members) reportRefused(now time.Time) {
	refused := m.transport.stats().Refused
	if refused == m.refused || now.Sub(m.reported) < refusedReportEvery {
		return
	}
	m.emit(event.Event{Code: event.MemberMessageRefused, Value: refused - m.refused})
	m.refused = refused
	m.reported = now
}

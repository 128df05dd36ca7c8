// Package members runs pkg/membership in the daemon: it connects the core, which
// the control goroutine owns, to UDP and to the platform's host list.
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

// HostList is a list of hosts of the fleet. It may be outdated and incomplete.
type HostList struct {
	// Revision orders the lists.
	Revision uint64
	// Hosts are the listed hosts.
	Hosts []membership.ListedHost
}

// HostSource reads the host list.
type HostSource interface {
	Hosts(ctx context.Context) (*HostList, error)
}

// Config configures Members. Zero durations select the defaults.
type Config struct {
	// Address is the UDP address at which peers reach this host. The socket is
	// bound to exactly this address.
	Address netip.AddrPort
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Keys are the fleet keys: the first signs, all are accepted. Without keys
	// datagrams are not authenticated.
	Keys [][]byte
	// Process identifies this process. Default: a random value.
	Process uint64
	// Period is the time between two probes. Default: membership.DefaultPeriod.
	Period time.Duration
	// PauseThreshold is the gap between two inputs that counts as a pause.
	// Default: two periods.
	PauseThreshold time.Duration
	// DeadRetention is how long dead members are remembered. Default: 600 periods.
	DeadRetention time.Duration
	// Hosts reads the host list.
	Hosts HostSource
	// OnTick, if not nil, is called with the newest snapshot after each tick, on
	// the control goroutine.
	OnTick func(*membership.Snapshot)
	// Loop is the control loop; New must be called before it runs.
	Loop *control.Loop
	// Events receives the events of the core.
	Events event.Sink
}

// ErrBusy is returned when the control queue is full; the call may be retried.
var ErrBusy = errors.New("control queue is full")

// Members runs the membership protocol on this host.
type Members struct {
	conf            Config
	core            *membership.Core // used on the control goroutine only
	transport       *transport
	snapshot        atomic.Pointer[membership.Snapshot]
	started         time.Time
	lastTick        atomic.Int64 // nanoseconds since started
	lastReport      time.Time    // last report of refused datagrams
	reportedRefused int64        // refused datagrams reported so far
	cancel          context.CancelFunc
}

// New creates Members and registers its tick with the loop.
func New(conf Config) (*Members, error) {
	if len(conf.FailureDomain) > membership.MaxFailureDomainBytes {
		return nil, errors.Newf("failure domain %q is longer than %d bytes", conf.FailureDomain, membership.MaxFailureDomainBytes)
	}
	if !conf.Address.IsValid() || conf.Address.Addr().IsUnspecified() {
		return nil, errors.Newf("peer address %q is invalid or unspecified: peers cannot reach it", conf.Address)
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
	m := &Members{conf: conf, started: now, lastReport: now}
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

// Bind opens the socket. It must be called before the control loop runs.
func (m *Members) Bind() error { return m.transport.bind() }

// Unbind closes the socket of members that were not started.
func (m *Members) Unbind() { m.transport.stop() }

// Start starts to read the platform's host list. It opens the socket unless Bind has. The control
// loop must be running or about to run.
func (m *Members) Start() error {
	if err := m.transport.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.readHosts(ctx)
	return nil
}

// Leave announces to the peers that this host is about to leave. It must be
// called at the start of a graceful shutdown and not on the control goroutine;
// the host remains a member. The only error is ctx's.
func (m *Members) Leave(ctx context.Context) error {
	return m.conf.Loop.Call(ctx, func() { m.apply(m.core.Leave(clock.Now())) })
}

// Stop announces to the peers that this host has left, and closes the socket. The
// control loop must still be running, otherwise the peers have to detect the stop.
// It must not be called on the control goroutine.
func (m *Members) Stop(ctx context.Context) {
	_ = m.conf.Loop.Call(ctx, func() { m.apply(m.core.Stop(clock.Now())) })
	if m.cancel != nil {
		m.cancel()
	}
	m.transport.stop()
}

// Snapshot returns the newest snapshot. It never blocks and never returns nil.
func (m *Members) Snapshot() *membership.Snapshot { return m.snapshot.Load() }

// Resuming reports whether this process was paused and has not caught up yet. It
// detects a pause before the control goroutine does, so the result is correct
// also for a goroutine that serves requests and calls it immediately after the
// pause.
func (m *Members) Resuming() bool {
	sinceTick := clock.Since(m.started) - time.Duration(m.lastTick.Load())
	return sinceTick > m.conf.PauseThreshold || m.snapshot.Load().Resuming
}

// SetMetadata publishes up to 64 bytes of metadata with this host's entry, at most
// every five periods; the newest value wins. It may be called on any goroutine.
// The errors are membership.ErrMetadataTooLong and ErrBusy.
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

// Stats returns the traffic counters since the start.
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

// receive posts a message to the control goroutine. It reports false when the
// control queue is full; done is then not called.
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

const refusedReportInterval = 10 * time.Second

// reportRefused emits one event for all datagrams refused since the last report.
func (m *Members) reportRefused(now time.Time) {
	refused := m.transport.stats().Refused
	if refused == m.reportedRefused || now.Sub(m.lastReport) < refusedReportInterval {
		return
	}
	m.emit(event.Event{Code: event.MemberMessageRefused, Value: refused - m.reportedRefused})
	m.reportedRefused = refused
	m.lastReport = now
}

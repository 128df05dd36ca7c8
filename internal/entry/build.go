package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"

	"github.com/dapplespindle/dapplespindle/internal/admin"
	"github.com/dapplespindle/dapplespindle/internal/configfeed"
	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/limitsync"
	"github.com/dapplespindle/dapplespindle/internal/members"
	"github.com/dapplespindle/dapplespindle/internal/notices"
	"github.com/dapplespindle/dapplespindle/internal/operator"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/poisonsync"
	"github.com/dapplespindle/dapplespindle/internal/prober"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/settings"
	"github.com/dapplespindle/dapplespindle/internal/tlsconf"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// credentials loads the TLS files of one role and returns nil if TLS is not configured.
func (e *Entry) credentials(t settings.TLS) (credentials.TransportCredentials, error) {
	if !t.Files.Enabled() {
		return nil, nil
	}
	r, err := tlsconf.Load(t.Files, tlsconf.Options{OnReload: e.onCertificateReload})
	if err != nil {
		return nil, err
	}
	e.warnExpired(t.Files.Certificate, r)
	return r.Credentials(t.ServerName), nil
}

// callerTLS loads the TLS files for callers and returns nil if TLS is not configured.
func (e *Entry) callerTLS() (*tls.Config, error) {
	t := e.conf.CallerTLS
	if !t.Files.Enabled() {
		return nil, nil
	}
	r, err := tlsconf.LoadCallers(t.Files, tlsconf.Options{OnReload: e.onCertificateReload})
	if err != nil {
		return nil, err
	}
	e.warnExpired(t.Files.Certificate, r)
	return r.CallerConfig(), nil
}

// upstreamTLS loads the TLS files for upstreams and returns nil if none is set.
func (e *Entry) upstreamTLS() (func(string) *tls.Config, error) {
	t := e.conf.UpstreamTLS
	if !t.Files.Enabled() {
		return nil, nil
	}
	r, err := tlsconf.LoadUpstreams(t.Files, tlsconf.Options{OnReload: e.onCertificateReload})
	if err != nil {
		return nil, err
	}
	e.warnExpired(t.Files.Certificate, r)
	return func(name string) *tls.Config { return r.UpstreamConfig(cmp.Or(name, t.ServerName)) }, nil
}

// warnExpired reports an expired certificate, which the other side will refuse.
func (e *Entry) warnExpired(file string, r *tlsconf.Reloader) {
	if at := r.Expires(); !at.IsZero() && at.Before(time.Now()) {
		e.emit(event.Event{Code: event.CertificateExpired, Detail: file + " expired at " + at.UTC().Format(time.RFC3339)})
	}
}

// onCertificateReload reports the result of reloading changed certificate files.
func (e *Entry) onCertificateReload(err error) {
	if err != nil {
		e.emit(event.Event{Code: event.CertificatesRejected, Detail: err.Error()})
		return
	}
	e.emit(event.Event{Code: event.CertificatesReloaded})
}

func (e *Entry) buildPeers() error {
	creds, err := e.credentials(e.conf.PeerTLS)
	if err != nil {
		return err
	}
	e.pool = peer.NewPool(creds)
	e.peerServer = peer.NewServer(e.conf.PeerListen, creds)
	address, err := netip.ParseAddrPort(e.conf.PeerListen)
	if err != nil {
		return err
	}
	keys, err := readKeys(e.conf.FleetKeyFile)
	if err != nil {
		return err
	}
	e.members, err = members.New(members.Config{
		Address:       address,
		FailureDomain: e.conf.FailureDomain,
		Keys:          keys,
		Hosts: &hostSource{e.newPlatform(), func(l *platform.HostList) {
			e.loop.Post(func() { e.control.applyHostList(l) })
		}},
		Loop:   e.loop,
		Events: e.sink,
	})
	if err != nil {
		return err
	}
	return e.buildTickets(address)
}

func readKeys(file string) ([][]byte, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "fleet-key-file")
	}
	return members.ParseKeys(strings.TrimSpace(string(text)))
}

func (e *Entry) buildTickets(address netip.AddrPort) error {
	ledger := atmostonce.DefaultConfig()
	ledger.Lifetime = e.conf.Tickets.Lifetime
	ledger.MaxTickets = e.conf.Tickets.MaxRecords
	ledger.MaxStoredBytes = e.conf.Tickets.MaxBytes
	tickets, err := execution.New(execution.Config{
		Host:      e.host,
		Address:   address,
		Ledger:    ledger,
		KnownPeer: func(a netip.AddrPort) bool { return e.members.Snapshot().Find(a) != nil },
		Direct:    func(r *routing.Rule) bool { return r.Config.Execution == config.ExecutionDirect },
		Local: func(ctx context.Context, req *httpwire.Request) *httpwire.Response {
			return e.proxy.ServeForwarded(ctx, req)
		},
		Pool:   e.pool,
		Events: e.sink,
	}, rand.Reader)
	if err != nil {
		return err
	}
	tickets.Register(e.peerServer)
	e.tickets = tickets
	return nil
}

func (e *Entry) buildRequestPath() error {
	limits := e.conf.Limits
	callerTLS, err := e.callerTLS()
	if err != nil {
		return err
	}
	upstreamTLS, err := e.upstreamTLS()
	if err != nil {
		return err
	}
	e.control = newController(e)
	e.client = upstream.New(upstream.Config{
		DialTimeout:      limits.DialTimeout,
		MaxResponseBytes: limits.MaxBodyBytes,
		TLS:              upstreamTLS,
		Attribute:        proxy.DefaultDialect().Attribute,
		OnLost:           func(target string) { e.proxy.UpstreamLost(target) },
	})
	e.prober = prober.New(prober.Config{
		EntryHost:    e.host,
		Sender:       e.client,
		Events:       e.sink,
		Report:       e.control.recordProbe,
		ParseBackoff: proxy.DefaultDialect().Backoff,
		OnBackoff:    e.control.recordBackoff,
		Limited:      e.control.groups.limits.Limited,
		Path:         e.conf.Probe.Path,
		Timeout:      e.conf.Probe.Timeout,
		ReportTTL:    e.conf.Probe.ReportTTL,
	})
	e.poison = poisonsync.New(poisonsync.Config{
		Loop:     e.loop,
		Server:   e.peerServer,
		Pool:     e.pool,
		Peers:    e.peerAddresses,
		Recent:   func(now time.Time, within time.Duration) []poison.Crash { return e.proxy.RecentCrashes(now, within) },
		OnUpdate: func(died []poison.Crash, answered []poison.Fingerprint) { e.proxy.ApplyPeerCrashes(died, answered) },
	})
	e.limits = limitsync.New(limitsync.Config{
		Loop:      e.loop,
		Server:    e.peerServer,
		Pool:      e.pool,
		Peers:     e.peerAddresses,
		SlotOrder: e.slotOrder,
		Registry:  e.control.groups.limits,
		OnUpdate:  e.reportPeerLimits,
	})
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	e.proxy = proxy.New(e.host, incarnation, e.client, e.sink,
		proxy.WithExecutor(e.tickets),
		proxy.WithTracer(e.tracer),
		proxy.WithUpstreams(e.control),
		proxy.WithPoisonNotifier(e.poison),
		proxy.WithSlotBorrower(e.limits),
		proxy.WithCrossingCounter(e.metrics),
	)
	e.loop.Every(gossip.RepeatInterval, e.proxy.AnnounceQuarantines)
	e.server = httpwire.NewServer(httpwire.ServerConfig{
		Address:      e.conf.Listen,
		MaxHeadBytes: limits.MaxHeadBytes,
		MaxBodyBytes: limits.MaxBodyBytes,
		HeadTimeout:  limits.HeadTimeout,
		BodyTimeout:  limits.BodyTimeout,
		IdleTimeout:  limits.IdleTimeout,
		TLS:          callerTLS,
		Handler:      e.proxy,
		Refuse:       e.proxy.RefuseUnread,
		OnHandshakeFailed: func(remote string, err error) {
			e.emit(event.Event{Code: event.HandshakeFailed, Detail: remote + ": " + err.Error()})
		},
	})
	return nil
}

func (e *Entry) buildControl(ctx context.Context) error {
	e.notices = notices.New(notices.Config{
		Loop:     e.loop,
		Server:   e.peerServer,
		Pool:     e.pool,
		Peers:    e.peerAddresses,
		Known:    e.control.registry.Notices,
		Merge:    e.control.mergeNotices,
		Resuming: e.control.Resuming,
	})
	e.feed = configfeed.New(ctx, configfeed.Config{
		Host: e.host,
		Options: configsync.Options{
			Self:             configsync.Member{Address: e.conf.PeerListen, FailureDomain: e.conf.FailureDomain},
			SoloStartTimeout: e.conf.JoinTimeout,
		},
		Loop:     e.loop,
		Server:   e.peerServer,
		Pool:     e.pool,
		Platform: e.newPlatform(),
		Members:  e.configMembers,
		Events:   e.sink,
		OnChange: e.control.applyConfiguration,
	})
	e.loop.Every(heartbeatInterval, e.control.tick)
	e.admin = admin.New(admin.Config{Address: e.conf.AdminListen, Metrics: e.metrics, Profiles: e.conf.AdminPprof})
	return nil
}

func (e *Entry) buildOperators() error {
	creds, err := e.credentials(e.conf.Operators.TLS)
	if err != nil {
		return err
	}
	e.operatorServer = peer.NewServer(e.conf.Operators.Listen, creds)
	e.operators = operator.New(operator.Config{
		Host:      e.host,
		Build:     e.build,
		Source:    e.control.published,
		Fleet:     fleetView{e},
		Local:     e.server,
		Upstreams: operator.ConfiguredUpstreams{Source: e.control.published, Observe: e.control.observe},
		Events:    e.ring,
		Peers:     operator.PeerClient{Connections: e.pool},
	})
	e.operators.Register(e.operatorServer)
	e.operators.RegisterPeer(e.peerServer)
	return nil
}

package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/members"
	"github.com/dapplespindle/dapplespindle/internal/peertransport"
	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	// memberPeriod is the time between two membership probes. Membership only determines
	// the order of the hosts here, so it may be slow and cheap.
	memberPeriod = 2 * time.Second
	// leaveTimeout bounds the notification to peers that this host is leaving.
	leaveTimeout = 100 * time.Millisecond
)

// fleet connects this host with the other entry hosts: membership, and the transport
// for the updates that the hosts send to each other.
type fleet struct {
	gateway   *Gateway
	address   netip.AddrPort // for membership
	port      uint16         // of the peer transport, the same on all hosts
	members   *members.Members
	transport *peertransport.Transport
	relays    *relay.Server
	version   uint64 // of the snapshot given to the watcher
	joined    time.Time
	converged bool // as given to the watcher
	// others are the transport addresses of the other hosts that are not known to be dead.
	others atomic.Pointer[[]netip.AddrPort]
	// slotOrder are the transport addresses of all hosts in the order of their time slots;
	// zero for those considered dead, which lend no time slots.
	slotOrder atomic.Pointer[[]netip.AddrPort]
	// reportPeers are the receivers of reports of free slots; owned by the control goroutine.
	reportPeers reportPeers
	quarantines quarantineLearner
}

// newFleet returns nil for a host that has no peers.
func newFleet(g *Gateway) (*fleet, error) {
	if g.conf.PeerListen == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(g.conf.PeerListen)
	if err != nil {
		return nil, err
	}
	f := &fleet{gateway: g, address: address, port: g.conf.PeerTransportPort}
	f.quarantines.gateway = g
	f.others.Store(new([]netip.AddrPort))
	f.slotOrder.Store(new([]netip.AddrPort))
	f.members, err = members.New(members.Config{
		Address:       address,
		FailureDomain: g.conf.FailureDomain,
		Period:        memberPeriod,
		Hosts:         f,
		OnTick:        f.refresh,
		Loop:          g.loop,
		Events:        g.sink,
	})
	if err != nil {
		return nil, err
	}
	f.relays = f.newRelayServer()
	f.transport = peertransport.New(peertransport.Config{
		Address:   f.transportAddress(address),
		Relay:     f.relays,
		OnMessage: func(t *storewatch.PeerMessage) { g.watcher.ApplyPeerMessage(t) },
		ServeFetch: func(ctx context.Context, after uint64) (*storewatch.PeerMessage, error) {
			return g.watcher.ServeFetch(ctx, after)
		},
		Events: g.sink,

		OnAvailability: f.applyAvailability,

		CallerNotes:  g.notes,
		OnLimits:     g.applyPeerLimits,
		GrantQuota:   g.quotas.Answer,
		LendTimeSlot: func(s ratelimit.Server) bool { return g.control.pools.limits.Lend(clock.Now(), s) },
		LendRetry:    f.lendRetry,
		Quarantines:  f.quarantines.known,
		OnPoison:     func(died []poison.Crash, answered []poison.Fingerprint) { g.proxy.ApplyPeerCrashes(died, answered) },
	})
	g.notes.transport = f.transport
	return f, nil
}

// transportAddress returns the address of a host's peer transport, given its membership
// address.
func (f *fleet) transportAddress(member netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(member.Addr(), f.port)
}

// seeds returns the membership addresses in the settings.
func (f *fleet) seeds() []netip.AddrPort {
	f.gateway.confMu.Lock()
	defer f.gateway.confMu.Unlock()
	return f.gateway.conf.Seeds
}

// Hosts implements members.HostSource with the settings.
func (f *fleet) Hosts(context.Context) (*members.HostList, error) {
	out := new(members.HostList)
	for _, a := range f.seeds() {
		out.Hosts = append(out.Hosts, membership.ListedHost{Address: a})
	}
	return out, nil
}

// self describes this host by its transport address.
func (f *fleet) self() storesync.Host {
	return storesync.Host{Address: f.transportAddress(f.address), FailureDomain: f.gateway.conf.FailureDomain}
}

// refresh passes the hosts to the watcher when they have changed. It runs on the
// control goroutine.
func (f *fleet) refresh(s *membership.Snapshot) {
	now := clock.Now()
	if s.Joined && f.joined.IsZero() {
		f.joined = now
	}
	converged := s.Joined && now.Sub(f.joined) >= convergeDelay
	f.updateOthers(s)
	if s.Version == f.version && converged == f.converged || !f.gateway.watcher.SetHosts(f.hosts(s), converged) {
		return
	}
	f.version, f.converged = s.Version, converged
	f.setQuotaFleet(s, converged)
	if converged {
		f.updateHostCount(s)
	}
}

// updateHostCount records how many hosts the fleet may have. Hosts considered dead count
// too: they may be on the other side of a network partition and serve there.
func (f *fleet) updateHostCount(s *membership.Snapshot) {
	f.gateway.hostCount = len(s.Members)
	if f.gateway.hostCount == 1 {
		f.gateway.hostCount = 0 // it has found no other host yet, so the number is unknown
	}
	f.gateway.shareRetries()
	f.gateway.control.hostsChanged(f.gateway.hostCount)
	self := slices.IndexFunc(s.Members, func(m membership.Member) bool { return m.Address == s.Self.Address })
	order := make([]netip.AddrPort, len(s.Members))
	for i := range s.Members {
		if s.Members[i].State != membership.Dead {
			order[i] = f.transportAddress(s.Members[i].Address)
		}
	}
	f.slotOrder.Store(&order)
	f.gateway.control.pools.options.Schedule.Set(clock.Now(), timeslot.Position{Self: self, Hosts: len(s.Members)})
}

// convergeDelay is the time after finding the first peer by which a host knows most
// others. It took two to three seconds for 142 hosts that started together.
const convergeDelay = 3 * time.Second

// hosts returns the hosts that are not known to be dead, or the seeds until this
// host has found others.
func (f *fleet) hosts(s *membership.Snapshot) []storesync.Host {
	var out []storesync.Host
	for i := range s.Members {
		m := &s.Members[i]
		if m.State == membership.Dead {
			continue
		}
		out = append(out, storesync.Host{
			Address:       f.transportAddress(m.Address),
			FailureDomain: m.FailureDomain,
			Leaving:       m.Leaving,
		})
	}
	if s.Joined {
		return out
	}
	for _, a := range f.seeds() {
		out = append(out, storesync.Host{Address: f.transportAddress(a)})
	}
	return out
}

// startDelays returns how long this host waits after its start before it reads the store,
// and before it fetches from peers. If the whole fleet starts for the first time, a few
// hosts read the store and send the state to the others. A host that restarts reads the
// store itself: callers are waiting, and the state it needs is large.
func (f *fleet) startDelays() (readDelay, fetchDelay time.Duration) {
	switch {
	case !f.gateway.conf.FirstStart:
		return 0, startFetchDelay
	case slices.Contains(f.seeds(), f.address):
		return 0, 0
	}
	return startReadDelay, 0
}

const (
	// startReadDelay leaves the seed hosts of a fleet time to read the store. The known
	// platforms send requests eight seconds after the first start.
	startReadDelay = 2 * time.Second
	// startFetchDelay is how long reading the full state, which has several pages, takes on
	// a busy host if the store works. Fetches from peers start only after that, because
	// their responses are large and mostly cross failure domains.
	startFetchDelay = 300 * time.Millisecond
)

func (f *fleet) start(ctx context.Context) error {
	if err := f.transport.Start(); err != nil { // updates to the members that are found need it
		return err
	}
	go f.quarantines.run(ctx)
	return f.members.Start()
}

// leave notifies the peers that this host is leaving.
func (f *fleet) leave() {
	f.relays.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = f.members.Leave(ctx) // on failure, membership probes detect it
}

// stop notifies the peers that this host is gone and stops the transport.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	f.members.Stop(ctx)
	f.transport.Stop()
}

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
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
	"github.com/dapplespindle/dapplespindle/pkg/timeslot"
)

const (
	// memberPeriod is the time between two probes of membership. What it finds
	// only orders the hosts, so that it may be slow, and cheap.
	memberPeriod = 2 * time.Second
	// leaveTimeout bounds telling the peers that this host leaves.
	leaveTimeout = 100 * time.Millisecond
)

// fleet is what this host has to do with the other entry hosts: membership, and
// the news of the store that they tell one another.
type fleet struct {
	gateway *Gateway
	address netip.AddrPort // of membership
	port    uint16         // of news, on all hosts
	members *members.Members
	news    *peertransport.Transport
	version uint64 // of the snapshot given to the follower
	joined  time.Time
	settled bool // as given to the follower
	// others are the news addresses of the other hosts that are not known to be dead.
	others atomic.Pointer[[]netip.AddrPort]
	// inTurn are the news addresses of all hosts in the order of their turns; zero for those
	// held for dead, which lend nothing.
	inTurn atomic.Pointer[[]netip.AddrPort]
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
	f.others.Store(new([]netip.AddrPort))
	f.inTurn.Store(new([]netip.AddrPort))
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
	f.news = peertransport.New(peertransport.Config{
		Address:   f.newsAddress(address),
		OnMessage: func(t *storewatch.PeerMessage) { g.follower.ApplyPeerMessage(t) },
		ServeFetch: func(ctx context.Context, after uint64) (*storewatch.PeerMessage, error) {
			return g.follower.ServeFetch(ctx, after)
		},
		Events: g.sink,

		OnLimits:     g.heardLimits,
		GrantQuota:   g.quotas.Answer,
		LendTimeSlot: func(s ratelimit.Server) bool { return g.control.pools.limits.Lend(clock.Now(), s) },
		OnPoison:     func(died []poison.Crash, answered []poison.Fingerprint) { g.proxy.ApplyPeerCrashes(died, answered) },
	})
	return f, nil
}

// newsAddress is where a host whose membership address is given is told news.
func (f *fleet) newsAddress(member netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(member.Addr(), f.port)
}

// seeds are the membership addresses of the settings that can be used.
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

// self is this host as the others reach it for news.
func (f *fleet) self() storesync.Host {
	return storesync.Host{Address: f.newsAddress(f.address), FailureDomain: f.gateway.conf.FailureDomain}
}

// refresh gives the follower the hosts when they have changed. It runs on the
// control goroutine.
func (f *fleet) refresh(s *membership.Snapshot) {
	now := clock.Now()
	if s.Joined && f.joined.IsZero() {
		f.joined = now
	}
	settled := s.Joined && now.Sub(f.joined) >= settleAfter
	f.knowOthers(s)
	if s.Version == f.version && settled == f.settled || !f.gateway.follower.SetHosts(f.hosts(s), settled) {
		return
	}
	f.version, f.settled = s.Version, settled
	f.quotaFleet(s, settled)
	if settled {
		f.count(s)
	}
}

// count takes in how many hosts the fleet may have. Those held for dead count too:
// they may be on the other side of a split, and serve there.
func (f *fleet) count(s *membership.Snapshot) {
	f.gateway.hosts = len(s.Members)
	if f.gateway.hosts == 1 {
		f.gateway.hosts = 0 // it has found none, which says nothing
	}
	f.gateway.shareRetries()
	f.gateway.control.hostsChanged(f.gateway.hosts)
	self := slices.IndexFunc(s.Members, func(m membership.Member) bool { return m.Address == s.Self.Address })
	inTurn := make([]netip.AddrPort, len(s.Members))
	for i := range s.Members {
		if s.Members[i].State != membership.Dead {
			inTurn[i] = f.newsAddress(s.Members[i].Address)
		}
	}
	f.inTurn.Store(&inTurn)
	f.gateway.control.pools.options.Schedule.Set(clock.Now(), timeslot.Position{Self: self, Hosts: len(s.Members)})
}

// settleAfter is how long after it found a first peer a host knows most others: of
// 142 hosts that started together it took two to three seconds.
const settleAfter = 3 * time.Second

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
			Address:       f.newsAddress(m.Address),
			FailureDomain: m.FailureDomain,
			Leaving:       m.Leaving,
		})
	}
	if s.Joined {
		return out
	}
	for _, a := range f.seeds() {
		out = append(out, storesync.Host{Address: f.newsAddress(a)})
	}
	return out
}

// startTimes returns how long this host leaves the store, and its peers, alone when
// it starts. Where the whole fleet starts for the first time, a few hosts read the
// store and tell the others. A host that restarts reads it by itself: it has callers
// waiting, and what it needs is large.
func (f *fleet) startTimes() (readAfter, askAfter time.Duration) {
	switch {
	case !f.gateway.conf.FirstStart:
		return 0, storeTime
	case slices.Contains(f.seeds(), f.address):
		return 0, 0
	}
	return firstPeerWait, 0
}

const (
	// firstPeerWait leaves the first hosts of a fleet time to read the store. The
	// platforms known send requests eight seconds after the first start.
	firstPeerWait = 2 * time.Second
	// storeTime is what a store that works takes for everything, some pages long, on a
	// busy host. Peers are asked later than that: what they hand over is large and
	// mostly crosses failure domains.
	storeTime = 300 * time.Millisecond
)

func (f *fleet) start() error {
	if err := f.news.Start(); err != nil { // what membership finds is told over it
		return err
	}
	return f.members.Start()
}

// leave tells the peers that this host is about to go.
func (f *fleet) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = f.members.Leave(ctx) // they find out by themselves
}

// stop tells the peers that this host is gone.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	f.members.Stop(ctx)
	f.news.Stop()
}

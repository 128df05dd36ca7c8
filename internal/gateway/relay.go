package gateway

import (
	"net/netip"
	"sync"

	"github.com/dapplespindle/dapplespindle/internal/relay"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	relaychoice "github.com/dapplespindle/dapplespindle/pkg/relay"
)

// upstreamTargets are the target strings of the registered upstreams. The control goroutine changes
// it; the goroutines that relay connections read it.
type upstreamTargets struct{ m sync.Map }

func (t *upstreamTargets) add(target string)    { t.m.Store(target, nil) }
func (t *upstreamTargets) remove(target string) { t.m.Delete(target) }

// has reports whether there is an upstream with the target string.
func (t *upstreamTargets) has(target string) bool {
	_, ok := t.m.Load(target)
	return ok
}

// newRelayDialer returns a dialer for connections to upstreams through the other hosts, or nil for
// a host without peers.
func newRelayDialer(conf *Settings) (*relay.Dialer, error) {
	if conf.PeerListen == "" {
		return nil, nil
	}
	own, err := netip.ParseAddrPort(conf.PeerListen)
	if err != nil {
		return nil, err
	}
	return relay.NewDialer(own.Addr()), nil
}

// newRelayServer returns the server that relays connections of the other hosts.
func (f *fleet) newRelayServer() *relay.Server {
	g := f.gateway
	return relay.NewServer(relay.ServerConfig{
		Known:      f.knows,
		Registered: g.control.pools.targets.has,
		ID:         upstream.InstanceID,
		CutOff:     g.client.ContactLost,
		Connect:    g.client.Connect,
		Events:     g.sink,
	})
}

// knows reports whether ip is that of a host that is not known to be dead.
func (f *fleet) knows(ip netip.Addr) bool {
	for _, other := range *f.others.Load() {
		if other.Addr() == ip {
			return true
		}
	}
	return false
}

// updateRelayPeers passes the hosts through which upstreams may be reached to the dialer.
func (f *fleet) updateRelayPeers(s *membership.Snapshot) {
	var peers []relaychoice.Peer
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && !m.Leaving && m.Address != s.Self.Address {
			peers = append(peers, relaychoice.Peer{Address: f.transportAddress(m.Address), FailureDomain: m.FailureDomain})
		}
	}
	f.gateway.relayDialer.SetPeers(f.gateway.conf.FailureDomain, peers)
}

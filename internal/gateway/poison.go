package gateway

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/peertransport"
	"github.com/dapplespindle/dapplespindle/pkg/gossip"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// poisonNotifier implements proxy.PoisonNotifier over the peer transport.
type poisonNotifier struct {
	gateway *Gateway
}

// NotifyCrash implements proxy.PoisonNotifier.
func (n poisonNotifier) NotifyCrash(d poison.Crash) {
	if f := n.gateway.fleet; f != nil {
		f.transport.SendCrashes(f.othersAndSeeds(), []poison.Crash{d})
	}
}

// NotifyAnswer implements proxy.PoisonNotifier.
func (n poisonNotifier) NotifyAnswer(p poison.Fingerprint) {
	if f := n.gateway.fleet; f != nil {
		f.transport.SendAnswered(f.othersAndSeeds(), p)
	}
}

// rebroadcastCrashes sends recent crashes that hosts may have missed to a few of them, as
// many as fit into one message.
func (g *Gateway) rebroadcastCrashes(now time.Time) {
	if g.fleet == nil {
		return
	}
	// Crashes of one request at a time: some of many don't show that it is refused.
	crashes := slices.Concat(gossip.Sample(g.proxy.QuarantineEvidence(now), 1, rand.IntN)...)
	recent := g.proxy.RecentCrashes(now, poison.RebroadcastPeriod)
	crashes = append(crashes, gossip.Sample(recent, peertransport.CrashesPerMessage-len(crashes), rand.IntN)...)
	if len(crashes) == 0 {
		return
	}
	others := slices.Clone(*g.fleet.others.Load())
	g.fleet.transport.SendCrashes(gossip.Sample(others, gossip.RepeatFanOut, rand.IntN), crashes)
}

// updateOthers records the other hosts. It runs on the control goroutine.
func (f *fleet) updateOthers(s *membership.Snapshot) {
	if s.Version == f.version {
		return
	}
	others := []netip.AddrPort{}
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && m.Address != s.Self.Address {
			others = append(others, f.transportAddress(m.Address))
		}
	}
	f.others.Store(&others)
	f.gateway.notes.setHosts(s, f.port)
	f.updateRelayPeers(s)
}

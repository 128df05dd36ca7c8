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

// poisonNews implements proxy.PoisonNotifier over the hosts' datagrams.
type poisonNews struct {
	gateway *Gateway
}

// NotifyCrash implements proxy.PoisonNotifier.
func (n poisonNews) NotifyCrash(d poison.Crash) {
	if f := n.gateway.fleet; f != nil {
		f.news.SendCrashes(*f.others.Load(), []poison.Crash{d})
	}
}

// NotifyAnswer implements proxy.PoisonNotifier.
func (n poisonNews) NotifyAnswer(p poison.Fingerprint) {
	if f := n.gateway.fleet; f != nil {
		f.news.SendAnswered(*f.others.Load(), p)
	}
}

// repeatDeaths tells a few hosts what they may have missed, as much as one message holds.
func (g *Gateway) repeatDeaths(now time.Time) {
	if g.fleet == nil {
		return
	}
	deaths := g.proxy.RecentCrashes(now, poison.RebroadcastPeriod)
	if len(deaths) == 0 {
		return
	}
	others := slices.Clone(*g.fleet.others.Load())
	g.fleet.news.SendCrashes(gossip.Sample(others, gossip.RepeatFanOut, rand.IntN), gossip.Sample(deaths, peertransport.CrashesPerMessage, rand.IntN))
}

// knowOthers takes in the other hosts. It runs on the control goroutine.
func (f *fleet) knowOthers(s *membership.Snapshot) {
	if s.Version == f.version {
		return
	}
	others := []netip.AddrPort{}
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && m.Address != s.Self.Address {
			others = append(others, f.newsAddress(m.Address))
		}
	}
	f.others.Store(&others)
}

package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/news"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/poison"
)

// An end of an upstream is told to all hosts at once, so that the third one is known
// everywhere some milliseconds later. What is lost on the way, and what a host that
// starts has missed, is repeated while it counts.
const (
	// repeatEvery is the pause between two repeats, and repeatTo how many other hosts
	// hear one. Each host hears four a second: of those that missed an end, one in 50
	// does not hear of it within a second.
	repeatEvery = 500 * time.Millisecond
	repeatTo    = 2
	// repeatFor is how long an end that gets no request refused is repeated.
	repeatFor = 5 * time.Second
)

// poisonNews implements proxy.PoisonNews.
type poisonNews struct {
	gateway *Gateway
}

// Died implements proxy.PoisonNews.
func (n poisonNews) Died(d poison.Death) {
	if f := n.gateway.fleet; f != nil {
		f.news.TellDeaths(*f.others.Load(), []poison.Death{d})
	}
}

// Answered implements proxy.PoisonNews.
func (n poisonNews) Answered(p poison.Fingerprint) {
	if f := n.gateway.fleet; f != nil {
		f.news.TellAnswered(*f.others.Load(), p)
	}
}

// repeatDeaths tells a few hosts, drawn anew each time, what they may have missed. Of
// more than a message holds, some are drawn.
func (g *Gateway) repeatDeaths(now time.Time) {
	if g.fleet == nil {
		return
	}
	deaths := g.proxy.RecentDeaths(now, repeatFor)
	if len(deaths) == 0 {
		return
	}
	to := append([]netip.AddrPort(nil), *g.fleet.others.Load()...)
	g.fleet.news.TellDeaths(draw(to, repeatTo), draw(deaths, news.DeathsPerMessage))
}

// draw returns up to n of a list, which it reorders.
func draw[T any](list []T, n int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// knowOthers takes in the other hosts. It runs on the control goroutine.
func (f *fleet) knowOthers(s *membership.Snapshot) {
	if s.Version == f.version {
		return
	}
	var others []netip.AddrPort
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && m.Address != s.Self.Address {
			others = append(others, f.newsAddress(m.Address))
		}
	}
	f.others.Store(&others)
}

package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7200)
}

// peersOf returns n peers, spread over the given failure domains.
func peersOf(n int, domains ...string) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{address(i), domains[i%len(domains)]})
	}
	return out
}

// TestAlternatesBetweenDomains guards against a host whose failure domain is cut off as a whole
// and that asks one neighbor after the other.
func TestAlternatesBetweenDomains(t *testing.T) {
	is := is.New(t)
	c := NewChoice()
	c.SetPeers("a", peersOf(6, "a", "b"))
	var tried []netip.AddrPort
	var domains []string
	for range 6 {
		p, ok := c.Pick(start, rand.IntN, tried)
		is.True(ok)
		tried = append(tried, p.Address)
		domains = append(domains, p.FailureDomain)
	}
	is.Equal(domains, []string{"a", "b", "a", "b", "a", "b"})
	_, ok := c.Pick(start, rand.IntN, tried)
	is.True(!ok) // each peer once
}

// TestCooldown guards against tries that go to a peer that has just failed.
func TestCooldown(t *testing.T) {
	is := is.New(t)
	c := NewChoice()
	c.SetPeers("a", peersOf(1, "a"))
	now := start
	for f, d := range cooldowns {
		c.Failed(now, address(0), f)
		_, ok := c.Pick(now.Add(d-1), rand.IntN, nil)
		is.True(!ok)
		_, ok = c.Pick(now.Add(d), rand.IntN, nil)
		is.True(ok)
		now = now.Add(d)
	}
	c.Failed(now, address(0), UpstreamRefused) // not the peer's fault
	_, ok := c.Pick(now, rand.IntN, nil)
	is.True(ok)
}

// TestDoubtfulPeersComeLast guards against asking peers again and again that are cut off from a
// service, while others reach it.
func TestDoubtfulPeersComeLast(t *testing.T) {
	is := is.New(t)
	c := NewChoice()
	c.SetPeers("a", peersOf(12, "a", "b"))
	for i := range 11 {
		c.Failed(start, address(i), UpstreamUnreachable)
	}
	for range 20 {
		p, ok := c.Pick(start, rand.IntN, nil)
		is.True(ok)
		is.Equal(p.Address, address(11))
	}
	p, ok := c.Pick(start, rand.IntN, []netip.AddrPort{address(11)})
	is.True(ok) // the others remain the last resort
	is.True(p.Address != address(11))
}

// TestPeersThatLeftAreForgotten guards against state that grows with the peers of all times.
func TestPeersThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	c := NewChoice()
	for i := range 100 {
		c.SetPeers("a", []Peer{{address(i), "a"}})
		c.Failed(start, address(i), Unsupported)
		c.Failed(start, address(i), UpstreamRefused)
		c.Opened(address(i))
		c.Closed(address(i))
	}
	c.SetPeers("a", nil)
	is.Equal(len(c.until), 0)
	is.Equal(len(c.doubtful), 0)
	is.Equal(len(c.open), 0)
}

// TestHelpersShareTheLoad guards against a helper that is overrun: fleets of 13 to 4,340 hosts, in
// which all hosts of one failure domain are cut off, each with 40 connections.
func TestHelpersShareTheLoad(t *testing.T) {
	const domains, connections = 4, 40
	for _, hosts := range []int{13, 117, 587, 4340} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			names := []string{"a", "b", "c", "d"}
			all := peersOf(hosts, names...)
			load := make(map[netip.AddrPort]int)
			cutOff := 0
			tries := 0
			for i, self := range all {
				if self.FailureDomain != "a" {
					continue
				}
				cutOff++
				c := NewChoice()
				c.SetPeers("a", append(append([]Peer(nil), all[:i]...), all[i+1:]...))
				for range connections {
					var tried []netip.AddrPort
					for {
						p, ok := c.Pick(start, random.IntN, tried)
						if !ok {
							t.Fatal("no peer")
						}
						tries++
						if p.FailureDomain != "a" {
							c.Opened(p.Address)
							load[p.Address]++
							break
						}
						c.Failed(start, p.Address, CutOff)
						tried = append(tried, p.Address)
					}
				}
			}
			most := 0
			for _, n := range load {
				most = max(most, n)
			}
			mean := float64(cutOff*connections) / float64(hosts-cutOff)
			t.Logf("%d of %d hosts cut off: %.1f connections at a helper, at most %d; %.2f tries for each",
				cutOff, hosts, mean, most, float64(tries)/float64(cutOff*connections))
			if float64(most) > 2.5*mean {
				t.Errorf("a helper has %d connections, the mean is %.1f", most, mean)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	c := NewChoice()
	c.SetPeers("a", peersOf(4340, "a", "b", "c", "d"))
	for b.Loop() {
		c.Pick(start, rand.IntN, nil)
	}
}

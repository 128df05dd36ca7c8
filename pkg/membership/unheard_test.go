package membership_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// TestUnheardHoldsUnknownListedHosts checks that Snapshot.UnknownHosts contains a
// listed host until it is known as a member, and never one that is leaving.
func TestUnheardHoldsUnknownListedHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	self, peer, leaving := address(0), address(1), address(2)
	core := membership.New(now, membership.Config{Address: self, Process: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	core.SetHosts(now, 1, []membership.ListedHost{{Address: self}})
	is.Equal(core.Snapshot().UnknownHosts, nil)
	core.SetHosts(now, 2, []membership.ListedHost{{Address: self}, {Address: peer}, {Address: leaving, Leaving: true}})
	is.Equal(core.Snapshot().UnknownHosts, []netip.AddrPort{peer})
	core.Receive(now, &membership.Message{
		From: membership.Entry{Address: peer, Process: 2, State: membership.Alive},
		Body: membership.Ping{Sequence: 1},
	})
	is.Equal(core.Snapshot().UnknownHosts, nil)
	is.True(core.Snapshot().Find(peer) != nil)
}

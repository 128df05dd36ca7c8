package wire

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// checkCore gives a decoded message to a core: it must stay itself, break no
// invariant, and answer with datagrams that fit.
func checkCore(t *testing.T, c *Codec, m *membership.Message) {
	t.Helper()
	now := time.Unix(0, 0)
	core := membership.New(now, membership.Config{
		Address: here, Process: 1, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	for range 2 * membership.TicksPerPeriod {
		now = now.Add(membership.DefaultPeriod / membership.TicksPerPeriod)
		for _, out := range []membership.Effects{core.Receive(now, m), core.Tick(now)} {
			for _, e := range out.Events {
				if e.Code >= event.InvariantIncarnationBack {
					t.Fatal("invariant broken: ", e)
				}
			}
			for _, s := range out.Send {
				if _, err := c.Encode(s.To, s.Message); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if s := core.Snapshot().Self; s.Process != 1 || s.State != membership.Alive {
		t.Fatal("foreign news about self taken over: ", s)
	}
}

package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

// A host learns of a second one from a ping and sends an ack.
func Example() {
	now := time.Unix(0, 0)
	core := membership.New(now, membership.Config{
		Address:       netip.MustParseAddrPort("10.0.0.1:7000"),
		FailureDomain: "hanoi",
		Process:       1,
		Rand:          rand.New(rand.NewPCG(1, 1)),
	})
	effects := core.Receive(now, &membership.Message{
		From: membership.Entry{
			Address: netip.MustParseAddrPort("10.0.0.2:7000"),
			Process: 2,
			State:   membership.Alive,
		},
		Body: membership.Ping{Sequence: 7},
	})
	for _, s := range effects.Send {
		fmt.Printf("to %v: %T\n", s.To, s.Message.Body)
	}
	for _, m := range core.Snapshot().Members {
		fmt.Println(m.Address, m.Status())
	}
	// Output:
	// to 10.0.0.2:7000: membership.Ack
	// 10.0.0.1:7000 alive
	// 10.0.0.2:7000 alive
}

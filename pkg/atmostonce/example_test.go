package atmostonce_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
)

// A request arrives twice and is executed once.
func Example() {
	now := time.Unix(0, 0)
	secret := atmostonce.Secret{1} // must be random outside of examples
	sealer := atmostonce.NewSealer(netip.MustParseAddrPort("10.0.0.1:7400"), 1, secret)
	ledger := atmostonce.New(atmostonce.DefaultConfig(), now)

	sequence, _ := ledger.Issue(now)
	text := sealer.Seal(sequence).String()

	for range 2 {
		ticket, _ := atmostonce.ParseTicket(text)
		if sealer.Owner(ticket) != atmostonce.Local {
			return // forward the request, or answer that the outcome is unknown
		}
		decision, _ := ledger.Submit(now, atmostonce.Submission{
			Sequence: ticket.Sequence,
			Digest:   atmostonce.DigestOf("POST", "/sales", []byte("lot 7")),
			Deadline: now.Add(time.Second),
		})
		if decision.Verdict == atmostonce.Final {
			fmt.Println("again:", decision.Result.Outcome(), decision.Result.Answer.Status)
			continue
		}
		if denied, _ := ledger.Send(now, ticket.Sequence); denied != nil {
			return
		}
		response := &atmostonce.Answer{Status: 201} // from the upstream
		result, _ := ledger.Finish(now, ticket.Sequence, atmostonce.Ran(response))
		fmt.Println("first:", result.Outcome(), result.Answer.Status)
	}
	// Output:
	// first: ran 201
	// again: ran 201
}

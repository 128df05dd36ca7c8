package rendezvous_test

import (
	"fmt"
	"net/netip"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/rendezvous"
)

// One host of each failure domain is selected; the selection changes only when
// the selected host leaves.
func ExamplePerDomain() {
	var members []membership.Member
	for i, domain := range []string{"hanoi", "hanoi", "hanoi", "recife", "recife"} {
		members = append(members, membership.Member{Entry: membership.Entry{
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
			State:         membership.Alive,
			FailureDomain: domain,
		}})
	}
	for _, m := range rendezvous.PerDomain("services/lots", members, 1) {
		fmt.Println(m.FailureDomain, m.Address)
	}
	// Output:
	// hanoi 10.0.0.1:7000
	// recife 10.0.0.5:7000
}

package wire_test

import (
	"fmt"
	"net/netip"

	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

// A datagram is bound to its receiver: another host rejects it.
func ExampleCodec() {
	codec, err := wire.NewCodec([][]byte{[]byte("a key of sixteen")})
	if err != nil {
		fmt.Println(err)
		return
	}
	to := netip.MustParseAddrPort("10.0.0.2:7000")
	datagram, err := codec.Encode(to, &membership.Message{
		From: membership.Entry{
			Address: netip.MustParseAddrPort("10.0.0.1:7000"),
			Process: 1,
			State:   membership.Alive,
		},
		Body: membership.Ping{Sequence: 7},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	message, err := codec.Decode(to, datagram)
	fmt.Println(message.Body, err)
	_, err = codec.Decode(netip.MustParseAddrPort("10.0.0.3:7000"), datagram)
	fmt.Println(err)
	// Output:
	// {7} <nil>
	// datagram is not signed by a known key
}

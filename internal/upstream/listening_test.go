package upstream

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRefuses covers a listening address, a closed port and an invalid address.
func TestRefuses(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{DialTimeout: testWait})
	lives := startUpstream(t, func(int, net.Conn, *bufio.Reader) {})
	is.True(!client.RefusesConnections(testContext(t), InstanceTarget("i-1", lives)))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	is.True(client.RefusesConnections(testContext(t), InstanceTarget("i-2", ln.Addr().String())))
	is.True(client.RefusesConnections(testContext(t), ln.Addr().String()))
	is.True(!client.RefusesConnections(testContext(t), "no address"))
}

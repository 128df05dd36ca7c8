package upstream

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRefuses: one that listens, one that has ended, and one that says nothing.
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

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

// TestCutIsNoCrash guards against taking this host's own cut links for the crash of an upstream.
func TestCutIsNoCrash(t *testing.T) {
	is := is.New(t)
	links := new(cutLinks)
	client, _ := startCutClient(t, links)
	lives, crashed := startUpstreams(t, 1, serveOK)[0], refusingAddress(t)
	links.cut.Store(true)
	is.True(!client.RefusesConnections(testContext(t), lives))
	is.True(client.RefusesConnections(testContext(t), crashed)) // the peer says so too
}

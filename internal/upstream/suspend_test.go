package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

// TestConnectionsAreIdleWhileSuspended checks that a request which must not be sent twice
// gets a new connection after a suspension of the machine: connections that were used right
// before it were idle during the suspension, and the upstream may have dropped them.
func TestConnectionsAreIdleWhileSuspended(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for readRequest(r) {
			_, _ = c.Write([]byte(okResponse))
		}
	})
	client := startClient(t, Config{})
	once := request("POST", nil)
	once.NonRepeatable = true
	for range 2 {
		_, err := client.Do(testContext(t), address, once)
		is.True(err == nil)
	}
	is.Equal(connections.Load(), int64(1))
	defer clock.SimulateSuspension(5 * time.Second)()
	_, err := client.Do(testContext(t), address, once)
	is.True(err == nil)
	is.Equal(connections.Load(), int64(2))
}

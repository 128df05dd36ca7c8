package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbandonedRequestIsReset guards against requests that run after a cut heals, long after they
// were abandoned: an orderly close lets the system go on sending what has not been acknowledged.
func TestAbandonedRequestIsReset(t *testing.T) {
	for name, leave := range map[string]bool{"the caller left": true, "the deadline passed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wasReset := make(chan bool, 1)
			read := make(chan struct{})
			client := startClient(t, Config{})
			target := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
				if n > 0 { // the check whether contact is lost
					return
				}
				readRequest(r)
				close(read)
				wasReset <- waitForReset(c)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			go func() {
				<-read
				if leave {
					cancel()
				}
			}()
			_, err := client.Do(ctx, target, request("GET", nil))
			is.True(err != nil)
			is.True(<-wasReset)
		})
	}
}

// waitForReset reports whether the other side resets the connection within a second. An orderly end
// alone leaves no pending error.
func waitForReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for range 100 {
		pending := 0
		_ = raw.Control(func(fd uintptr) {
			pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if pending != 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

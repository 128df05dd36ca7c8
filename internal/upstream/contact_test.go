package upstream

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
)

// refusingAddress returns an address at which nothing listens.
func refusingAddress(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	return ln.Addr().String()
}

// TestContactLost guards against a host whose logs and metrics don't tell whether single
// upstreams fail or all of them.
func TestContactLost(t *testing.T) {
	is := is.New(t)
	changes := make(chan Contact, 10)
	client := startClient(t, Config{OnContact: func(c Contact) { changes <- c }})
	lives := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	for range 3 {
		_, err := client.Do(testContext(t), refusingAddress(t), request("GET", nil))
		is.True(err != nil)
	}
	is.True((<-changes).Lost)
	_, err := client.Do(testContext(t), lives, request("GET", nil))
	is.True(err == nil)
	is.True(!(<-changes).Lost)
	is.Equal(len(changes), 0)
}

package upstream

import (
	"context"
	"net"
	"strings"

	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// target is how an upstream is reached.
type target struct {
	// address is "IP:port".
	address string
	tls     bool
	// name is what the upstream's certificate must carry; empty is its IP.
	name string
}

// A target with TLS is written "tls:NAME@IP:port", and one with connections of
// its own "id:UPSTREAM@IP:port".
const (
	tlsPrefix     = "tls:"
	idPrefix      = "id:"
	nameSeparator = "@"
)

// InstanceTarget returns what Do takes as the address of one instance of an
// upstream: its connections are never used for another at the same address.
func InstanceTarget(id, address string) string { return idPrefix + id + nameSeparator + address }

// Target returns what Do takes as the address of an upstream of a group with
// these TLS settings. Plain and TLS connections to one address never mix.
func Target(address string, t config.TLS) string {
	if !t.Enabled {
		return address
	}
	return tlsPrefix + t.ServerName + nameSeparator + address
}

// TargetAddress returns the IP:port of a target.
func TargetAddress(s string) string { return parseTarget(s).address }

func parseTarget(s string) target {
	if rest, ok := strings.CutPrefix(s, idPrefix); ok {
		_, address, _ := strings.Cut(rest, nameSeparator)
		return target{address: address}
	}
	rest, ok := strings.CutPrefix(s, tlsPrefix)
	if !ok {
		return target{address: s}
	}
	name, address, _ := strings.Cut(rest, nameSeparator)
	return target{address: address, tls: true, name: name}
}

// handshake makes TLS on a new connection to an upstream that has it. It
// returns nil for a plain upstream.
func (c *Client) handshake(ctx context.Context, p *pool, nc net.Conn) (*socket.TLS, error) {
	if !p.target.tls {
		return nil, nil
	}
	conf := c.conf.TLS(p.target.name)
	if conf.ServerName == "" {
		host, _, err := net.SplitHostPort(p.target.address)
		if err != nil {
			return nil, err
		}
		conf.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, c.conf.DialTimeout)
	defer cancel()
	return socket.DialTLS(ctx, nc, conf)
}

// secure goes on with session over the event loop, if there is one.
func (c *conn) secure(session *socket.TLS) error {
	if session == nil {
		return nil
	}
	c.tls = session
	return session.Attach(c.writeRaw, c.plain)
}

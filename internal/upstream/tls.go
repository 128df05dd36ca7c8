package upstream

import (
	"context"
	"net"
	"strings"

	"github.com/dapplespindle/dapplespindle/internal/httpwire/socket"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// target is a parsed target string.
type target struct {
	// address is "IP:port".
	address string
	tls     bool
	// name is the name that the upstream's certificate must be valid for; if empty, it is
	// the IP.
	name string
}

// The forms of a target string: "IP:port", "tls:NAME@IP:port" for TLS, and
// "id:UPSTREAM@IP:port" for an instance with its own connections.
const (
	tlsPrefix     = "tls:"
	idPrefix      = "id:"
	nameSeparator = "@"
)

// InstanceTarget returns the address argument of Do for one instance of an upstream. Its
// connections are never used for another instance at the same address.
func InstanceTarget(id, address string) string { return idPrefix + id + nameSeparator + address }

// InstanceID returns the ID of the upstream in a target string of InstanceTarget.
func InstanceID(target string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(target, idPrefix), nameSeparator)
	return id
}

// Target returns the address argument of Do for an upstream of a group with these TLS
// settings. Plaintext and TLS connections to one address are pooled separately.
func Target(address string, t config.TLS) string {
	if !t.Enabled {
		return address
	}
	return tlsPrefix + t.ServerName + nameSeparator + address
}

// TargetAddress returns the IP:port of a target string.
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

// handshake runs the TLS handshake on a new connection to an upstream with TLS. It
// returns nil for an upstream without TLS.
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

// secure attaches the TLS session, if any, to the event loop.
func (c *conn) secure(session *socket.TLS) error {
	if session == nil {
		return nil
	}
	c.tls = session
	return session.Attach(c.writeRaw, c.handlePlaintext)
}

package tlsconf

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns gRPC credentials for both sides of a connection. Each
// handshake uses the certificates then in force. An empty serverName expects
// the server's certificate to name the address that is connected to; entry
// hosts that come and go are easier served by one name for all of them.
func (r *Reloader) Credentials(serverName string) credentials.TransportCredentials {
	return &transport{reloader: r, serverName: serverName}
}

// transport implements credentials.TransportCredentials.
type transport struct {
	reloader   *Reloader
	serverName string
}

// ClientHandshake implements credentials.TransportCredentials. The gRPC library
// verifies the certificate against authority, whatever name the configuration
// holds, so the expected name takes authority's place.
func (t *transport) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if t.serverName != "" {
		authority = t.serverName
	}
	return credentials.NewTLS(t.reloader.clientConfig()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (t *transport) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(t.reloader.serverConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (t *transport) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (t *transport) Clone() credentials.TransportCredentials {
	c := *t
	return &c
}

// OverrideServerName implements credentials.TransportCredentials.
func (t *transport) OverrideServerName(name string) error {
	t.serverName = name
	return nil
}

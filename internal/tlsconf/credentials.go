package tlsconf

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns gRPC credentials for both sides of a connection. Each handshake
// uses the certificates that are current at that time. A client expects the server's
// certificate to carry serverName or, if serverName is empty, the address that it
// connects to. A name shared by all entry hosts is easier to manage when hosts are
// added and removed.
func (r *Reloader) Credentials(serverName string) credentials.TransportCredentials {
	return &transport{reloader: r, serverName: serverName}
}

// transport implements credentials.TransportCredentials.
type transport struct {
	reloader   *Reloader
	serverName string
}

// ClientHandshake implements credentials.TransportCredentials. The gRPC library
// verifies the certificate against authority and ignores the server name in the TLS
// configuration, so the expected name is passed as authority.
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

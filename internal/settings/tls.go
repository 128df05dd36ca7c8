package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/tlsconf"
)

// TLS holds the files of one mutual TLS configuration; see docs/SECURITY.md.
type TLS struct {
	// Files are the certificate, the key and the shared CA.
	Files tlsconf.Files
	// ServerName is the name that a server's certificate must contain; empty means the
	// address that is connected to.
	ServerName string
}

// Register adds the flags to fs. Their names start with prefix; what describes the other
// side of the connections.
func (t *TLS) Register(fs *pflag.FlagSet, prefix, what string) {
	fs.StringVar(&t.Files.Certificate, prefix+"-cert", "", "PEM file of this side's certificate "+what+" (default none, no TLS)")
	fs.StringVar(&t.Files.Key, prefix+"-key", "", "PEM file of its private key (default none)")
	fs.StringVar(&t.Files.CA, prefix+"-ca", "", "PEM file of the shared CA, which must have signed the other side's certificate (default none)")
	fs.StringVar(&t.ServerName, prefix+"-server-name", "", "name that a server's certificate must contain (default the address connected to)")
}

// Validate reports an incomplete set of files.
func (t *TLS) Validate() error { return t.Files.Validate() }

// CallerTLS holds the files for TLS with callers.
type CallerTLS struct {
	// Files are the certificate, the key and, if callers must present certificates, the CA
	// that signed those.
	Files tlsconf.Files
}

// Register adds the flags to fs.
func (c *CallerTLS) Register(fs *pflag.FlagSet) {
	fs.StringVar(&c.Files.Certificate, "caller-tls-cert", "", "PEM file of the certificate presented to callers, with intermediates (default none, no TLS)")
	fs.StringVar(&c.Files.Key, "caller-tls-key", "", "PEM file of its private key (default none)")
	fs.StringVar(&c.Files.CA, "caller-tls-ca", "", "PEM file of the CA that must have signed callers' certificates (default none, callers need no certificate)")
}

// Validate reports an incomplete set of files, or files that cannot be used.
func (c *CallerTLS) Validate() error {
	if !c.Files.Enabled() {
		return nil
	}
	_, err := tlsconf.LoadCallers(c.Files, tlsconf.Options{})
	return err
}

// UpstreamTLS holds the files for TLS with upstreams.
type UpstreamTLS struct {
	// Files are the CA that signed the upstreams' certificates and, for upstreams that
	// request a client certificate, this side's certificate and key.
	Files tlsconf.Files
	// ServerName is the name that an upstream's certificate must contain, unless its group
	// sets one; empty means the upstream's IP.
	ServerName string
}

// Register adds the flags to fs.
func (u *UpstreamTLS) Register(fs *pflag.FlagSet) {
	fs.StringVar(&u.Files.CA, "upstream-tls-ca", "", "PEM file of the CA that signed the upstreams' certificates (default none, groups with TLS are refused)")
	fs.StringVar(&u.Files.Certificate, "upstream-tls-cert", "", "PEM file of the certificate presented to upstreams that request one (default none)")
	fs.StringVar(&u.Files.Key, "upstream-tls-key", "", "PEM file of its private key (default none)")
	fs.StringVar(&u.ServerName, "upstream-tls-server-name", "", "name that an upstream's certificate must contain, unless its group sets one (default the upstream's IP)")
}

// Validate reports an incomplete set of files, or files that cannot be used.
func (u *UpstreamTLS) Validate() error {
	if !u.Files.Enabled() {
		if u.ServerName != "" {
			return errors.New("upstream-tls-server-name is set without upstream-tls-ca")
		}
		return nil
	}
	_, err := tlsconf.LoadUpstreams(u.Files, tlsconf.Options{})
	return err
}

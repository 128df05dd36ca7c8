package settings

import (
	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/tlsconf"
)

// TLS names the files of one mutual TLS set-up; see docs/SECURITY.md.
type TLS struct {
	// Files are the certificate, the key and the agreed authority.
	Files tlsconf.Files
	// ServerName is the name that a server's certificate must carry; empty takes
	// the address that is connected to.
	ServerName string
}

// Register adds the flags to fs. Prefix starts their names, and what says
// whom the connections go to.
func (t *TLS) Register(fs *pflag.FlagSet, prefix, what string) {
	fs.StringVar(&t.Files.Certificate, prefix+"-cert", "", "PEM file of this side's certificate "+what+" (default none, no TLS)")
	fs.StringVar(&t.Files.Key, prefix+"-key", "", "PEM file of its private key (default none)")
	fs.StringVar(&t.Files.Authority, prefix+"-ca", "", "PEM file of the agreed authority, which must have signed the other side's certificate (default none)")
	fs.StringVar(&t.ServerName, prefix+"-server-name", "", "name that a server's certificate must carry (default the address connected to)")
}

// Validate reports files that are not whole.
func (t *TLS) Validate() error { return t.Files.Validate() }

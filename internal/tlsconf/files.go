// Package tlsconf gives mutual TLS to gRPC listeners and connections, between
// entry hosts and towards operators.
//
// Both sides must show a certificate that the agreed authority signed. The
// files are read again when they change, checked at a handshake and at most
// once a second, so that certificates are replaced without a restart.
package tlsconf

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// Files are the paths of PEM files.
type Files struct {
	// Certificate is this side's certificate, with intermediates.
	Certificate string
	// Key is the private key of Certificate.
	Key string
	// Authority holds the certificates of the agreed authority; the other side's
	// certificate must be signed by one of them.
	Authority string
}

// Enabled reports whether any file is set.
func (f Files) Enabled() bool { return f != Files{} }

// Validate reports a set of files that is not whole.
func (f Files) Validate() error {
	if !f.Enabled() || (f.Certificate != "" && f.Key != "" && f.Authority != "") {
		return nil
	}
	return errors.New("TLS needs the certificate, the key and the authority: set all three or none")
}

// contents are the bytes of the files.
type contents struct {
	certificate, key, authority []byte
}

func (c *contents) equal(o *contents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

func (f Files) read() (*contents, error) {
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return &contents{certificate, key, authority}, nil
}

// material is what a handshake needs. It is immutable.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func (c *contents) parse(f Files) (*material, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, errors.Wrapf(err, "%s with %s", f.Certificate, f.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(c.authority) {
		return nil, errors.Newf("%s: holds no certificate in PEM", f.Authority)
	}
	return &material{pair, pool}, nil
}

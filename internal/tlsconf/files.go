// Package tlsconf gives mutual TLS to gRPC listeners and connections, between
// entry hosts and towards operators, and TLS to callers and upstreams.
//
// With mutual TLS both sides must show a certificate that the agreed authority
// signed. The
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
	certificate, err := readSet(f.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	key, err := readSet(f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	authority, err := readSet(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return &contents{certificate, key, authority}, nil
}

// readSet reads a file that is set.
func readSet(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	return os.ReadFile(path)
}

// material is what a handshake needs. It is immutable.
type material struct {
	// certificate is empty and authority nil where their files are not set.
	certificate tls.Certificate
	authority   *x509.CertPool
	// callers is for the handshakes of callers; it holds their session keys.
	callers *tls.Config
}

func (c *contents) parse(f Files) (*material, error) {
	m := new(material)
	if f.Certificate != "" {
		pair, err := tls.X509KeyPair(c.certificate, c.key)
		if err != nil {
			return nil, errors.Wrapf(err, "%s with %s", f.Certificate, f.Key)
		}
		m.certificate = pair
	}
	if f.Authority != "" {
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(c.authority) {
			return nil, errors.Newf("%s: holds no certificate in PEM", f.Authority)
		}
	}
	m.callers = m.callerConfig()
	return m, nil
}

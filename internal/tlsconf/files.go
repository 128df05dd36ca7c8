// Package tlsconf provides mutual TLS for gRPC between entry hosts and with operators,
// and TLS for connections with callers and upstreams.
//
// With mutual TLS, both sides must present a certificate signed by the configured
// certificate authority. The files are reloaded when their content changes, so that
// certificates can be replaced without a restart. They are checked during handshakes,
// at most once per second.
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
	// Certificate is the certificate of this side, with intermediates.
	Certificate string
	// Key is the private key of Certificate.
	Key string
	// CA holds the certificates of the certificate authority. The certificate
	// of the other side must be signed by one of them.
	CA string
}

// Enabled reports whether any file is set.
func (f Files) Enabled() bool { return f != Files{} }

// Validate returns an error if only some of the files are set.
func (f Files) Validate() error {
	if !f.Enabled() || (f.Certificate != "" && f.Key != "" && f.CA != "") {
		return nil
	}
	return errors.New("TLS needs the certificate, the key and the authority: set all three or none")
}

// fileContents holds the bytes of the files.
type fileContents struct {
	certificate, key, authority []byte
}

func (c *fileContents) equal(o *fileContents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

func (f Files) read() (*fileContents, error) {
	certificate, err := readOptional(f.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	key, err := readOptional(f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	authority, err := readOptional(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return &fileContents{certificate, key, authority}, nil
}

// readOptional reads a file, or returns nil if its path is empty.
func readOptional(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	return os.ReadFile(path)
}

// material holds the parsed certificates and keys for handshakes. It is immutable.
type material struct {
	// certificate is empty and authority is nil if their files are not set.
	certificate tls.Certificate
	authority   *x509.CertPool
	// callers is the configuration for handshakes with callers. It holds their session
	// ticket keys, so sessions end when the certificates are replaced.
	callers *tls.Config
}

func (c *fileContents) parse(f Files) (*material, error) {
	m := new(material)
	if f.Certificate != "" {
		pair, err := tls.X509KeyPair(c.certificate, c.key)
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %s with key %s", f.Certificate, f.Key)
		}
		m.certificate = pair
	}
	if f.CA != "" {
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(c.authority) {
			return nil, errors.Newf("%s: contains no PEM certificate", f.CA)
		}
	}
	m.callers = m.callerConfig()
	return m, nil
}

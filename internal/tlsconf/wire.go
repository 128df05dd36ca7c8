package tlsconf

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
)

// protocol is the application protocol agreed on with callers and upstreams.
const protocol = "http/1.1"

// ValidateCallers reports a set of files that can't serve callers.
func (f Files) ValidateCallers() error {
	if !f.Enabled() || (f.Certificate != "" && f.Key != "") {
		return nil
	}
	return errors.New("TLS towards callers needs the certificate and the key")
}

// ValidateUpstreams reports a set of files that can't be used with upstreams.
func (f Files) ValidateUpstreams() error {
	switch {
	case !f.Enabled():
		return nil
	case f.Authority == "":
		return errors.New("TLS towards upstreams needs the authority that signed their certificates")
	case (f.Certificate == "") != (f.Key == ""):
		return errors.New("set the certificate and the key, or neither")
	}
	return nil
}

// LoadCallers reads the files of TLS towards callers. With an authority,
// callers must show a certificate that it signed.
func LoadCallers(f Files, opts Options) (*Reloader, error) {
	if err := f.ValidateCallers(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// LoadUpstreams reads the files of TLS towards upstreams. The certificate is
// shown to upstreams that ask for one.
func LoadUpstreams(f Files, opts Options) (*Reloader, error) {
	if err := f.ValidateUpstreams(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// callerConfig returns the configuration of handshakes with callers.
func (m *material) callerConfig() *tls.Config {
	conf := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{m.certificate},
		// A request or answer goes out in as few records, and so writes, as can be.
		DynamicRecordSizingDisabled: true,
	}
	if m.authority != nil {
		conf.ClientAuth = tls.RequireAndVerifyClientCert
		conf.ClientCAs = m.authority
	}
	return conf
}

// CallerConfig returns a configuration that uses the certificates then in force
// for each handshake with a caller. Sessions are resumed only under the
// certificates they began with.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.material().callers, nil
		},
	}
}

// UpstreamConfig returns the configuration of one handshake with an upstream
// whose certificate must carry name; the caller fills in an empty one.
func (r *Reloader) UpstreamConfig(name string) *tls.Config {
	m := r.material()
	conf := &tls.Config{
		MinVersion:                  tls.VersionTLS12,
		NextProtos:                  []string{protocol},
		RootCAs:                     m.authority,
		ServerName:                  name,
		DynamicRecordSizingDisabled: true,
	}
	if r.files.Certificate != "" {
		conf.Certificates = []tls.Certificate{m.certificate}
	}
	return conf
}

package tlsconf

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"
)

// alpnProtocol is the application protocol negotiated with callers and upstreams.
const alpnProtocol = "http/1.1"

// ValidateCallers returns an error if the set of files can't be used for TLS with
// callers.
func (f Files) ValidateCallers() error {
	if !f.Enabled() || (f.Certificate != "" && f.Key != "") {
		return nil
	}
	return errors.New("TLS towards callers needs the certificate and the key")
}

// ValidateUpstreams returns an error if the set of files can't be used for TLS with
// upstreams.
func (f Files) ValidateUpstreams() error {
	switch {
	case !f.Enabled():
		return nil
	case f.CA == "":
		return errors.New("TLS towards upstreams needs the authority that signed their certificates")
	case (f.Certificate == "") != (f.Key == ""):
		return errors.New("set the certificate and the key, or neither")
	}
	return nil
}

// LoadCallers reads the files for TLS with callers. If the authority is set, callers
// must present a certificate that it signed.
func LoadCallers(f Files, opts Options) (*Reloader, error) {
	if err := f.ValidateCallers(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// LoadUpstreams reads the files for TLS with upstreams. The certificate, if set, is
// presented to upstreams that request one.
func LoadUpstreams(f Files, opts Options) (*Reloader, error) {
	if err := f.ValidateUpstreams(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// callerConfig returns the configuration for handshakes with callers.
func (m *material) callerConfig() *tls.Config {
	conf := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{alpnProtocol},
		Certificates: []tls.Certificate{m.certificate},
		// Sends a request or response in as few TLS records, and so writes, as possible.
		DynamicRecordSizingDisabled: true,
	}
	if m.authority != nil {
		conf.ClientAuth = tls.RequireAndVerifyClientCert
		conf.ClientCAs = m.authority
	}
	return conf
}

// CallerConfig returns a configuration that uses, for each handshake with a caller, the
// certificates that are current at that time. Sessions can be resumed only while the
// certificates they were established with are current.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.material().callers, nil
		},
	}
}

// UpstreamConfig returns the configuration of one handshake with an upstream whose
// certificate must carry name. If name is empty, the caller must set ServerName.
func (r *Reloader) UpstreamConfig(name string) *tls.Config {
	m := r.material()
	conf := &tls.Config{
		MinVersion:                  tls.VersionTLS12,
		NextProtos:                  []string{alpnProtocol},
		RootCAs:                     m.authority,
		ServerName:                  name,
		DynamicRecordSizingDisabled: true,
	}
	if r.files.Certificate != "" {
		conf.Certificates = []tls.Certificate{m.certificate}
	}
	return conf
}

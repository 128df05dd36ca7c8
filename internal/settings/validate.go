package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const maxEntryHostsBound = 100_000

// duration pairs a setting's name with its value.
type duration struct {
	name  string
	value time.Duration
}

// count pairs a setting's name with its value.
type count struct {
	name  string
	value int
}

// Validate reports the first setting that is wrong, by its flag name.
func (e *Entry) Validate() error {
	if err := e.validateAddresses(); err != nil {
		return err
	}
	if e.FailureDomain == "" {
		return errors.New("failure-domain: is empty; set it to where this host runs")
	}
	if _, err := zerolog.ParseLevel(e.LogLevel); err != nil || e.LogLevel == "" {
		return errors.Newf("log-level: %q is not debug, info, warn or error", e.LogLevel)
	}
	if e.MaxEntryHosts > maxEntryHostsBound {
		return errors.Newf("max-entry-hosts: %d is over %d", e.MaxEntryHosts, maxEntryHostsBound)
	}
	if e.TraceSampleRate < 0 || e.TraceSampleRate > 1 {
		return errors.Newf("trace-sample-rate: %v is outside 0 to 1", e.TraceSampleRate)
	}
	if err := e.validateCounts(); err != nil {
		return err
	}
	if err := e.validateDurations(); err != nil {
		return err
	}
	return e.validateTLS()
}

func (e *Entry) validateAddresses() error {
	addresses := []struct{ name, value string }{
		{"listen", e.Listen},
		{"admin-listen", e.AdminListen},
		{"peer-listen", e.PeerListen},
		{"operator-listen", e.OperatorListen},
	}
	seen := make(map[string]string, len(addresses))
	for _, a := range addresses {
		if err := checkAddress(a.name, a.value); err != nil {
			return err
		}
		if other, twice := seen[a.value]; twice {
			return errors.Newf("%s: %s is already used by %s", a.name, a.value, other)
		}
		seen[a.value] = a.name
	}
	optional := []struct{ name, value string }{
		{"peer-advertise", e.PeerAdvertise},
		{"otlp-endpoint", e.OTLPEndpoint},
	}
	for _, o := range optional {
		if o.value == "" {
			continue
		}
		if err := checkAddress(o.name, o.value); err != nil {
			return err
		}
	}
	host, ok := strings.CutPrefix(e.Platform, "http://")
	if !ok {
		return errors.Newf("platform: %q is not http://IP:port", e.Platform)
	}
	return checkAddress("platform", host)
}

func checkAddress(name, value string) error {
	ap, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Newf("%s: %q is not IP:port", name, value)
	}
	if ap.Port() == 0 {
		return errors.Newf("%s: %q has no port", name, value)
	}
	return nil
}

func (e *Entry) validateCounts() error {
	counts := []count{
		{"max-entry-hosts", e.MaxEntryHosts},
		{"max-head-bytes", e.Limits.MaxHeadBytes},
		{"max-body-bytes", e.Limits.MaxBodyBytes},
		{"ticket-max-records", e.Tickets.MaxRecords},
		{"ticket-max-bytes", e.Tickets.MaxBytes},
	}
	for _, c := range counts {
		if c.value <= 0 {
			return errors.Newf("%s: %d is not positive", c.name, c.value)
		}
	}
	return nil
}

func (e *Entry) validateDurations() error {
	durations := []duration{
		{"watch-wait", e.WatchWait},
		{"join-timeout", e.JoinTimeout},
		{"idle-timeout", e.Limits.IdleTimeout},
		{"head-timeout", e.Limits.HeadTimeout},
		{"body-timeout", e.Limits.BodyTimeout},
		{"dial-timeout", e.Limits.DialTimeout},
		{"ticket-lifetime", e.Tickets.Lifetime},
		{"stop-timeout", e.Stop.Timeout},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return errors.Newf("%s: %s is not positive", d.name, d.value)
		}
	}
	if e.Stop.Grace < 0 {
		return errors.Newf("stop-grace: %s is negative", e.Stop.Grace)
	}
	return nil
}

func (e *Entry) validateTLS() error {
	if err := e.CallerTLS.validate("caller", false); err != nil {
		return err
	}
	if err := e.PeerTLS.validate("peer", true); err != nil {
		return err
	}
	return e.UpstreamTLS.validateClient("upstream")
}

// Enabled reports whether any file of the role is set.
func (t TLS) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" }

// validate checks the files of a role that needs a certificate of its own.
func (t TLS) validate(role string, mutual bool) error {
	if !t.Enabled() {
		return nil
	}
	if t.CertFile == "" || t.KeyFile == "" {
		return errors.Newf("%s-tls-cert, %s-tls-key: set both", role, role)
	}
	if mutual && t.CAFile == "" {
		return errors.Newf("%s-tls-ca: is empty; both sides show certificates", role)
	}
	return t.checkFiles(role)
}

// validateClient checks the files of a role that may go without a certificate.
func (t TLS) validateClient(role string) error {
	if !t.Enabled() {
		return nil
	}
	if t.CAFile == "" {
		return errors.Newf("%s-tls-ca: is empty; the other side's certificate must be checked", role)
	}
	if (t.CertFile == "") != (t.KeyFile == "") {
		return errors.Newf("%s-tls-cert, %s-tls-key: set both or none", role, role)
	}
	return t.checkFiles(role)
}

func (t TLS) checkFiles(role string) error {
	files := []struct{ name, path string }{
		{"cert", t.CertFile},
		{"key", t.KeyFile},
		{"ca", t.CAFile},
	}
	for _, f := range files {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			return errors.Newf("%s-tls-%s: %s", role, f.name, err)
		}
	}
	return nil
}

// PeerAddress returns the IP:port at which peers reach this host.
func (e *Entry) PeerAddress() string {
	if e.PeerAdvertise != "" {
		return e.PeerAdvertise
	}
	return e.PeerListen
}

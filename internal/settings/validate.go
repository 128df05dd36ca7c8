package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const maxEntryHostsLimit = 100_000

// setting pairs a setting's name with its value.
type setting[T int | time.Duration] struct {
	name  string
	value T
}

// checkPositive returns an error for the first setting that is not positive.
func checkPositive[T int | time.Duration](settings []setting[T]) error {
	for _, s := range settings {
		if s.value <= 0 {
			return errors.Newf("%s: %v is not positive", s.name, s.value)
		}
	}
	return nil
}

// Validate reports the first invalid setting by its flag name.
func (e *Entry) Validate() error {
	if err := e.validateAddresses(); err != nil {
		return err
	}
	if !strings.HasPrefix(e.Probe.Path, "/") {
		return errors.Newf("probe-path: %q does not start with /", e.Probe.Path)
	}
	if e.FailureDomain == "" {
		return errors.New("failure-domain: is empty; set it to where this host runs")
	}
	if _, err := zerolog.ParseLevel(e.LogLevel); err != nil || e.LogLevel == "" {
		return errors.Newf("log-level: %q is not debug, info, warn or error", e.LogLevel)
	}
	if e.MaxEntryHosts > maxEntryHostsLimit {
		return errors.Newf("max-entry-hosts: %d is over %d", e.MaxEntryHosts, maxEntryHostsLimit)
	}
	if err := e.validateCounts(); err != nil {
		return err
	}
	if err := e.validateDurations(); err != nil {
		return err
	}
	if err := e.validateKeys(); err != nil {
		return err
	}
	return e.Operators.Validate()
}

func (e *Entry) validateAddresses() error {
	addresses := []struct{ name, value string }{
		{"listen", e.Listen},
		{"admin-listen", e.AdminListen},
		{"peer-listen", e.PeerListen},
		{"operator-listen", e.Operators.Listen},
	}
	seen := make(map[string]string, len(addresses))
	for _, a := range addresses {
		if err := checkAddress(a.name, a.value); err != nil {
			return err
		}
		if other, duplicate := seen[a.value]; duplicate {
			return errors.Newf("%s: %s is already used by %s", a.name, a.value, other)
		}
		seen[a.value] = a.name
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
	return checkPositive([]setting[int]{
		{"max-entry-hosts", e.MaxEntryHosts},
		{"max-head-bytes", e.Limits.MaxHeadBytes},
		{"max-body-bytes", e.Limits.MaxBodyBytes},
		{"ticket-max-records", e.Tickets.MaxRecords},
		{"ticket-max-bytes", e.Tickets.MaxBytes},
	})
}

func (e *Entry) validateDurations() error {
	err := checkPositive([]setting[time.Duration]{
		{"watch-wait", e.WatchWait},
		{"join-timeout", e.JoinTimeout},
		{"idle-timeout", e.Limits.IdleTimeout},
		{"head-timeout", e.Limits.HeadTimeout},
		{"body-timeout", e.Limits.BodyTimeout},
		{"dial-timeout", e.Limits.DialTimeout},
		{"ticket-lifetime", e.Tickets.Lifetime},
		{"probe-timeout", e.Probe.Timeout},
		{"probe-fresh-for", e.Probe.ReportTTL},
		{"probe-linger", e.Probe.MaxLateness},
		{"stop-timeout", e.Stop.Timeout},
	})
	if err != nil {
		return err
	}
	if e.Stop.Grace < 0 {
		return errors.Newf("stop-grace: %s is negative", e.Stop.Grace)
	}
	if e.Stop.Timeout <= e.Stop.Grace {
		return errors.Newf("stop-timeout: %s is not above the stop-grace of %s", e.Stop.Timeout, e.Stop.Grace)
	}
	return nil
}

func (e *Entry) validateKeys() error {
	if err := e.PeerTLS.Validate(); err != nil {
		return errors.Wrap(err, "peer-tls")
	}
	if err := e.CallerTLS.Validate(); err != nil {
		return errors.Wrap(err, "caller-tls")
	}
	if err := e.UpstreamTLS.Validate(); err != nil {
		return errors.Wrap(err, "upstream-tls")
	}
	if e.PeerTLS.Files.Enabled() && e.FleetKeyFile == "" {
		return errors.New("fleet-key-file: is empty; with peer-tls-cert, membership datagrams need keys too")
	}
	if e.FleetKeyFile == "" {
		return nil
	}
	if _, err := os.Stat(e.FleetKeyFile); err != nil {
		return errors.Wrap(err, "fleet-key-file")
	}
	return nil
}

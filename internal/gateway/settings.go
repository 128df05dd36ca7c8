package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Settings holds the settings of an entry host.
type Settings struct {
	// Host is this host's IP, for events.
	Host string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Listen is the IP:port for callers.
	Listen string
	// ReadyListen is the IP:port of the readiness endpoint.
	ReadyListen string
	// ReadyPath is the path of the readiness endpoint; empty means the default path.
	ReadyPath string
	// MetricsListen is the IP:port for metrics; empty disables them.
	MetricsListen string
	// PeerListen is the IP:port for membership; empty for a host without peers. The
	// peer transport uses the same IP.
	PeerListen string
	// PeerTransportPort is the port of the peer transport, the same on all hosts.
	PeerTransportPort uint16
	// Seeds are the PeerListen of some hosts; they may be out of date.
	Seeds []netip.AddrPort
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// StopTimeout is the time after a signal within which the process must exit.
	StopTimeout time.Duration
	// MaxChangeDelay is the time within which a published change must be applied.
	MaxChangeDelay time.Duration
	// MaxLeaveDelay is the time after which an upstream that is leaving must receive no
	// new requests.
	MaxLeaveDelay time.Duration
	// MemoryBytes is the memory limit of the process; 0, the default, means unknown.
	MemoryBytes int64
	// MaxKeyStaleness is how old this host's knowledge of revoked keys may be; requests with
	// a customer's key are refused if it is older. With 0, the default, they are served with
	// the keys that are known.
	MaxKeyStaleness time.Duration
	// RetryBudgetRatio bounds the attempts beyond the first to a service, over all
	// entry hosts, as a share of its requests.
	RetryBudgetRatio float64
	// RetryReserve is the fixed part of that budget, in attempts.
	RetryReserve float64
}

// Validate reports the first invalid setting.
func (s *Settings) Validate() error {
	addresses := []struct{ name, value string }{
		{"listen", s.Listen},
		{"ready-listen", s.ReadyListen},
	}
	if s.MetricsListen != "" {
		addresses = append(addresses, struct{ name, value string }{"metrics-listen", s.MetricsListen})
	}
	if s.PeerListen != "" {
		addresses = append(addresses, struct{ name, value string }{"peer-listen", s.PeerListen})
		if s.PeerTransportPort == 0 {
			return errors.New("news-port: is 0; set it to a port that is free on all hosts")
		}
	}
	for _, a := range addresses {
		if ap, err := netip.ParseAddrPort(a.value); err != nil || ap.Port() == 0 {
			return errors.Newf("%s: %q is not IP:port", a.name, a.value)
		}
	}
	if s.FailureDomain == "" {
		return errors.New("failure-domain: is empty; set it to where this host runs")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return errors.Newf("log-level: %q is not debug, info, warn or error", s.LogLevel)
	}
	if s.StopTimeout <= minStopTimeout {
		return errors.Newf("stop-within: %s is not above %s", s.StopTimeout, minStopTimeout)
	}
	if s.MaxChangeDelay < minChangeDelay {
		return errors.Newf("change-within: %s is below %s", s.MaxChangeDelay, minChangeDelay)
	}
	if s.MaxLeaveDelay < minChangeDelay {
		return errors.Newf("leave-within: %s is below %s", s.MaxLeaveDelay, minChangeDelay)
	}
	if s.MemoryBytes < 0 {
		return errors.Newf("memory-bytes: %d is negative", s.MemoryBytes)
	}
	if s.MaxKeyStaleness < 0 {
		return errors.Newf("keys-known-within: %s is negative", s.MaxKeyStaleness)
	}
	if s.RetryBudgetRatio < 0 || s.RetryBudgetRatio > 1 {
		return errors.Newf("retry-budget-ratio: %v is outside 0 to 1", s.RetryBudgetRatio)
	}
	if s.RetryReserve < 0 {
		return errors.Newf("retry-reserve: %v is negative", s.RetryReserve)
	}
	return nil
}

// maxLearnDelay is the time within which this host must learn of any change of the store.
func (s *Settings) maxLearnDelay() time.Duration { return min(s.MaxChangeDelay, s.MaxLeaveDelay) }

// minChangeDelay is the shortest time within which a change can be learned: the calls of
// a watch and the pause before it take less.
const minChangeDelay = time.Second

// minStopTimeout is the shortest graceful shutdown that is supported.
const minStopTimeout = time.Second

package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Settings are what an entry host needs to know when it starts.
type Settings struct {
	// Host is this host's IP, for events.
	Host string
	// FailureDomain is where this host runs.
	FailureDomain string
	// Listen is the IP:port for callers.
	Listen string
	// ReadyListen is the IP:port where readiness is asked.
	ReadyListen string
	// ReadyPath is the path of readiness; empty is the product's own.
	ReadyPath string
	// MetricsListen is the IP:port for metrics; empty serves none.
	MetricsListen string
	// PeerListen is the IP:port where peers find this host; empty for a host that
	// has none. The IP is also where they tell it news.
	PeerListen string
	// PeerTransportPort is the port of news among hosts, the same on all of them.
	PeerTransportPort uint16
	// Seeds are the PeerListen of some hosts; they may be out of date.
	Seeds []netip.AddrPort
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// StopTimeout is the time after a signal in which the process must have ended.
	StopTimeout time.Duration
	// MaxChangeDelay is the time in which a published change must be in force.
	MaxChangeDelay time.Duration
	// MaxLeaveDelay is the time after which an upstream that leaves must get no new
	// requests.
	MaxLeaveDelay time.Duration
	// MemoryBytes is what the process may take in all. Default: 0, not known.
	MemoryBytes int64
	// MaxKeyStaleness is the time after which requests with a customer's key are refused if
	// it is not certain that all keys that were revoked are known. Default: 0, they are
	// served by what is known.
	MaxKeyStaleness time.Duration
	// RetryBudgetRatio bounds the sends beyond the first to a service, over all
	// entry hosts, as a share of its requests.
	RetryBudgetRatio float64
	// RetryReserve is the fixed part of that bound, in sends.
	RetryReserve float64
}

// Validate reports the first setting that is wrong.
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
	if s.StopTimeout <= minStop {
		return errors.Newf("stop-within: %s is not above %s", s.StopTimeout, minStop)
	}
	if s.MaxChangeDelay < minChange {
		return errors.Newf("change-within: %s is below %s", s.MaxChangeDelay, minChange)
	}
	if s.MaxLeaveDelay < minChange {
		return errors.Newf("leave-within: %s is below %s", s.MaxLeaveDelay, minChange)
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

// knownWithin is the time in which any change of the store must be known.
func (s *Settings) knownWithin() time.Duration { return min(s.MaxChangeDelay, s.MaxLeaveDelay) }

// minChange is the shortest time in which a change can be learned: the calls of a
// watch and the pause before it fit in.
const minChange = time.Second

// minStop is the shortest planned stop that can be carried out.
const minStop = time.Second

// Package settings reads a process's settings from flags and environment
// variables. A flag wins over its variable, which wins over the default. All
// settings are checked before any socket is opened.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"
)

// EnvPrefix starts the name of every environment variable of the project.
const EnvPrefix = "DAPPLESPINDLE_"

// Entry holds the settings of an entry host.
type Entry struct {
	// Listen is the IP:port for callers.
	Listen string
	// AdminListen is the IP:port for health, metrics and operators.
	AdminListen string
	// FailureDomain is where this host runs.
	FailureDomain string
	// Platform is the base URL of the platform's services.
	Platform string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// WatchWait is how long one configuration watch waits at the platform.
	WatchWait time.Duration
	// MaxBodyBytes bounds request and answer bodies, in bytes.
	MaxBodyBytes int
	// IdleTimeout closes a caller's idle connection.
	IdleTimeout time.Duration
	// DialTimeout bounds a connection to an upstream.
	DialTimeout time.Duration
	// StopTimeout bounds finishing the requests in flight at a planned stop.
	StopTimeout time.Duration
}

// Register adds the flags to fs, with units and defaults.
func (e *Entry) Register(fs *pflag.FlagSet) {
	fs.StringVar(&e.Listen, "listen", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&e.AdminListen, "admin-listen", "127.0.0.1:8081", "IP:port for health and metrics")
	fs.StringVar(&e.FailureDomain, "failure-domain", "", "failure domain of this host (required)")
	fs.StringVar(&e.Platform, "platform", "", "base URL of the platform, http://IP:port (required)")
	fs.StringVar(&e.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.DurationVar(&e.WatchWait, "watch-wait", 20*time.Second, "time one configuration watch waits")
	fs.IntVar(&e.MaxBodyBytes, "max-body-bytes", 16<<20, "largest body, in bytes")
	fs.DurationVar(&e.IdleTimeout, "idle-timeout", 120*time.Second, "time until an idle caller connection is closed")
	fs.DurationVar(&e.DialTimeout, "dial-timeout", time.Second, "time to connect to an upstream")
	fs.DurationVar(&e.StopTimeout, "stop-timeout", 30*time.Second, "time to finish requests in flight when stopping")
}

// Validate reports the first setting that is wrong.
func (e *Entry) Validate() error {
	if err := checkAddress("listen", e.Listen); err != nil {
		return err
	}
	if err := checkAddress("admin-listen", e.AdminListen); err != nil {
		return err
	}
	if e.FailureDomain == "" {
		return errors.New("failure-domain: is empty; set it to where this host runs")
	}
	if !strings.HasPrefix(e.Platform, "http://") {
		return errors.Newf("platform: %q is not http://IP:port", e.Platform)
	}
	if err := checkAddress("platform", strings.TrimPrefix(e.Platform, "http://")); err != nil {
		return err
	}
	if _, err := zerolog.ParseLevel(e.LogLevel); err != nil {
		return errors.Newf("log-level: %q is not debug, info, warn or error", e.LogLevel)
	}
	if e.MaxBodyBytes < 1 {
		return errors.New("max-body-bytes: is not positive")
	}
	return checkPositive(map[string]time.Duration{
		"watch-wait":   e.WatchWait,
		"idle-timeout": e.IdleTimeout,
		"dial-timeout": e.DialTimeout,
		"stop-timeout": e.StopTimeout,
	})
}

func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Newf("%s: %q is not IP:port", name, value)
	}
	return nil
}

func checkPositive(durations map[string]time.Duration) error {
	for name, d := range durations {
		if d <= 0 {
			return errors.Newf("%s: %s is not positive", name, d)
		}
	}
	return nil
}

// FromEnvironment sets each flag that was not given from its environment
// variable. A variable with our prefix that names no flag is an error.
func FromEnvironment(fs *pflag.FlagSet, environ []string) error {
	for _, kv := range environ {
		key, value, _ := strings.Cut(kv, "=")
		if !strings.HasPrefix(key, EnvPrefix) {
			continue
		}
		name := flagName(key)
		f := fs.Lookup(name)
		if f == nil {
			return errors.Newf("%s: no such setting; see --help", key)
		}
		if f.Changed {
			continue
		}
		if err := fs.Set(name, value); err != nil {
			return errors.Wrapf(err, "%s", key)
		}
	}
	return nil
}

// FromProcess is FromEnvironment with this process's variables.
func FromProcess(fs *pflag.FlagSet) error { return FromEnvironment(fs, os.Environ()) }

func flagName(key string) string {
	name := strings.ToLower(strings.TrimPrefix(key, EnvPrefix))
	return strings.ReplaceAll(name, "_", "-")
}

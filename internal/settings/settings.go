// Package settings reads a process's settings from flags and environment variables. A
// flag takes precedence over its variable, which takes precedence over the default. All
// settings are validated before any socket is opened.
package settings

import (
	"time"

	"github.com/spf13/pflag"
)

// Entry holds the settings of an entry host. Units and defaults are given in Register;
// --help prints them.
type Entry struct {
	// Listen is the IP:port for callers.
	Listen string
	// AdminListen is the IP:port for health and metrics.
	AdminListen string
	// AdminPprof enables the runtime's profiles on AdminListen.
	AdminPprof bool
	// PeerListen is the IP:port at which other entry hosts reach this host.
	PeerListen string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Platform is the base URL of the platform's services.
	Platform string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// WatchWait is how long one configuration watch waits at the platform.
	WatchWait time.Duration
	// JoinTimeout bounds waiting for peers before the first configuration is read from the
	// platform alone.
	JoinTimeout time.Duration
	// MaxEntryHosts bounds the entry host processes that can exist at once.
	MaxEntryHosts int
	// FleetKeyFile holds the keys that authenticate membership datagrams.
	FleetKeyFile string
	// Limits bounds what callers may send.
	Limits Limits
	// Tickets bounds the tickets for at-most-once execution.
	Tickets Tickets
	// Probe bounds the probes of upstreams.
	Probe Probe
	// Stop holds the timeouts of a graceful shutdown.
	Stop Stop
	// PeerTLS is mutual TLS between entry hosts.
	PeerTLS TLS
	// CallerTLS is TLS with callers.
	CallerTLS CallerTLS
	// UpstreamTLS is TLS with the upstreams of groups that enable it.
	UpstreamTLS UpstreamTLS
	// Operators holds the settings for operators, events and traces.
	Operators Operators
}

// Limits bounds messages and connections.
type Limits struct {
	// MaxHeadBytes bounds a request head, in bytes.
	MaxHeadBytes int
	// MaxBodyBytes bounds request and response bodies, in bytes.
	MaxBodyBytes int
	// IdleTimeout closes a caller's idle connection.
	IdleTimeout time.Duration
	// HeadTimeout bounds receiving a request head.
	HeadTimeout time.Duration
	// BodyTimeout bounds receiving a request body.
	BodyTimeout time.Duration
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
}

// Tickets bounds the records of at-most-once execution.
type Tickets struct {
	// Lifetime is how long a ticket may be used.
	Lifetime time.Duration
	// MaxRecords bounds the number of stored records.
	MaxRecords int
	// MaxBytes bounds the responses stored for replay, in bytes.
	MaxBytes int
}

// Probe configures how upstreams are probed; the probe budget is in their documents.
type Probe struct {
	// Path is the request path of a probe.
	Path string
	// Timeout bounds a probe and so the slot time that it uses.
	Timeout time.Duration
	// ReportTTL is how long a load report in a response makes a probe unnecessary.
	ReportTTL time.Duration
	// MaxLateness bounds the time from sending a probe until it reaches its upstream.
	MaxLateness time.Duration
}

// Stop holds the timeouts of a graceful shutdown.
type Stop struct {
	// Grace is how long a host that is shutting down still accepts connections, so that the
	// platform's load balancer can stop sending to it.
	Grace time.Duration
	// Timeout bounds finishing the requests in flight.
	Timeout time.Duration
}

// Register adds the flags to fs.
func (e *Entry) Register(fs *pflag.FlagSet) {
	fs.StringVar(&e.Listen, "listen", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&e.AdminListen, "admin-listen", "127.0.0.1:8081", "IP:port for health and metrics")
	fs.BoolVar(&e.AdminPprof, "admin-pprof", false, "serve the runtime's profiles under /debug/pprof/ on admin-listen")
	fs.StringVar(&e.PeerListen, "peer-listen", "127.0.0.1:8082", "IP:port for other entry hosts, TCP and UDP")
	fs.StringVar(&e.FailureDomain, "failure-domain", "", "failure domain of this host (required)")
	fs.StringVar(&e.Platform, "platform", "", "base URL of the platform, http://IP:port (required)")
	fs.StringVar(&e.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.DurationVar(&e.WatchWait, "watch-wait", 20*time.Second, "time one configuration watch waits")
	fs.DurationVar(&e.JoinTimeout, "join-timeout", 5*time.Second, "time to wait for peers before serving from the platform alone")
	fs.IntVar(&e.MaxEntryHosts, "max-entry-hosts", 32, "maximum number of entry host processes that can exist at once, including those being replaced")
	fs.StringVar(&e.FleetKeyFile, "fleet-key-file", "", "file of the keys that authenticate membership datagrams (default none)")
	e.Limits.register(fs)
	e.Tickets.register(fs)
	e.Probe.register(fs)
	fs.DurationVar(&e.Stop.Grace, "stop-grace", 2*time.Second, "time for which a host that is shutting down still accepts connections")
	fs.DurationVar(&e.Stop.Timeout, "stop-timeout", 30*time.Second, "time to finish requests in flight during shutdown")
	e.PeerTLS.Register(fs, "peer-tls", "between entry hosts")
	e.CallerTLS.Register(fs)
	e.UpstreamTLS.Register(fs)
	e.Operators.Register(fs)
}

func (l *Limits) register(fs *pflag.FlagSet) {
	fs.IntVar(&l.MaxHeadBytes, "max-head-bytes", 64<<10, "largest request head, in bytes")
	fs.IntVar(&l.MaxBodyBytes, "max-body-bytes", 16<<20, "largest body, in bytes")
	fs.DurationVar(&l.IdleTimeout, "idle-timeout", 120*time.Second, "time until an idle caller connection is closed")
	fs.DurationVar(&l.HeadTimeout, "head-timeout", 10*time.Second, "time to receive a request head")
	fs.DurationVar(&l.BodyTimeout, "body-timeout", 60*time.Second, "time to receive a request body")
	fs.DurationVar(&l.DialTimeout, "dial-timeout", time.Second, "time to connect to an upstream")
}

func (t *Tickets) register(fs *pflag.FlagSet) {
	fs.DurationVar(&t.Lifetime, "ticket-lifetime", 60*time.Second, "time an execution ticket may be used")
	fs.IntVar(&t.MaxRecords, "ticket-max-records", 100_000, "maximum number of execution records stored")
	fs.IntVar(&t.MaxBytes, "ticket-max-bytes", 64<<20, "maximum bytes of responses stored for replay")
}

func (p *Probe) register(fs *pflag.FlagSet) {
	fs.StringVar(&p.Path, "probe-path", "/", "request path of a probe")
	fs.DurationVar(&p.Timeout, "probe-timeout", 50*time.Millisecond, "time until a probe is abandoned")
	fs.DurationVar(&p.ReportTTL, "probe-fresh-for", time.Second, "time for which a load report in a response makes a probe unnecessary")
	fs.DurationVar(&p.MaxLateness, "probe-linger", time.Second, "maximum time from sending a probe until it reaches its upstream")
}

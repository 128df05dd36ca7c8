package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// Operators holds the settings of an entry host for operators, events and traces.
type Operators struct {
	// Listen is the IP:port of the operator API.
	Listen string
	// TLS is mutual TLS with operators.
	TLS TLS
	// EventCapacity is the number of decision events retained.
	EventCapacity int
	// DebugEvents is the number of debug events retained per second before sampling begins.
	DebugEvents int
	// TraceEndpoint is the collector's host:port for OTLP over gRPC; empty disables tracing.
	TraceEndpoint string
	// TraceRatio is the share of requests traced, from 0 to 1.
	TraceRatio float64
}

// Register adds the flags to fs, with units and defaults.
func (o *Operators) Register(fs *pflag.FlagSet) {
	fs.StringVar(&o.Listen, "operator-listen", "127.0.0.1:8083", "IP:port for operators")
	o.TLS.Register(fs, "operator-tls", "for operators")
	fs.IntVar(&o.EventCapacity, "event-capacity", 1<<15, "decision events retained, 168 bytes each plus their texts")
	fs.IntVar(&o.DebugEvents, "event-debug-rate", 20_000, "debug events retained per second before sampling begins")
	fs.StringVar(&o.TraceEndpoint, "trace-endpoint", "", "collector's host:port for OTLP over gRPC (default none, tracing off)")
	fs.Float64Var(&o.TraceRatio, "trace-ratio", 0.01, "share of requests traced, 0 to 1, when the caller's traceparent doesn't decide")
}

// Validate reports the first invalid setting.
func (o *Operators) Validate() error {
	if err := checkAddress("operator-listen", o.Listen); err != nil {
		return err
	}
	if err := o.TLS.Validate(); err != nil {
		return errors.Wrap(err, "operator-tls")
	}
	if o.EventCapacity < 1 || o.DebugEvents < 1 {
		return errors.New("event-capacity, event-debug-rate: are not both positive")
	}
	if o.TraceRatio < 0 || o.TraceRatio > 1 {
		return errors.Newf("trace-ratio: %g is outside 0 to 1", o.TraceRatio)
	}
	return nil
}

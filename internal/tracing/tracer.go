// Package tracing creates the spans of a request from its decision events: a server span
// for the entry host, and a client span for each attempt to send the request to an
// upstream. Spans are exported by OTLP over gRPC; tracing is off by default.
//
// A nil *Tracer and the nil *Hop that it returns are valid and do nothing, so that the
// request path needs no special case. If tracing is off, a caller's traceparent header is
// passed through unchanged.
package tracing

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/credentials"
)

const scopeName = "github.com/dapplespindle/dapplespindle/internal/tracing"

// Config configures a Tracer.
type Config struct {
	// Endpoint is the collector's "host:port" for OTLP over gRPC. Tracing is off if it is
	// empty.
	Endpoint string
	// Credentials secure the connection to the collector. If nil, TLS is not used.
	Credentials credentials.TransportCredentials
	// Ratio is the fraction of requests that are sampled, from 0 to 1, if the caller's
	// traceparent header doesn't decide.
	Ratio float64
	// Host, FailureDomain and Build identify this process on its spans.
	Host, FailureDomain, Build string
}

// Tracer creates and exports the spans of requests.
type Tracer struct {
	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
	queue      *queue
}

// New returns a tracer that exports to c.Endpoint, or nil if c.Endpoint is empty. It does
// not wait for a connection to the collector.
func New(ctx context.Context, c Config) (*Tracer, error) {
	if c.Endpoint == "" {
		return nil, nil
	}
	if c.Ratio < 0 || c.Ratio > 1 {
		return nil, errors.Newf("trace ratio: %g is outside 0 to 1", c.Ratio)
	}
	security := otlptracegrpc.WithInsecure()
	if c.Credentials != nil {
		security = otlptracegrpc.WithTLSCredentials(c.Credentials)
	}
	exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(c.Endpoint), security)
	if err != nil {
		return nil, errors.Wrap(err, "trace exporter")
	}
	return newTracer(c, exporter), nil
}

// newTracer returns a tracer that exports to exporter.
func newTracer(c Config, exporter sdktrace.SpanExporter) *Tracer {
	q := newQueue(exporter)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.Ratio))),
		sdktrace.WithSpanProcessor(q),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dapplespindle"),
			attribute.String("service.version", c.Build),
			attribute.String("host.ip", c.Host),
			attribute.String("dapplespindle.failure_domain", c.FailureDomain),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer(scopeName), queue: q}
}

// Begin starts the server span of a request that arrived at the given time, as a child of
// the span in the caller's traceparent header, if any.
func (t *Tracer) Begin(request string, h http.Header, arrived time.Time) *Hop {
	if t == nil {
		return nil
	}
	parent := t.propagator.Extract(context.Background(), propagation.HeaderCarrier(h))
	ctx, span := t.tracer.Start(parent, "request",
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithTimestamp(arrived))
	hop := &Hop{tracer: t, ctx: ctx, server: span, recording: span.IsRecording()}
	if hop.recording {
		span.SetAttributes(attribute.String("dapplespindle.request", request))
	}
	return hop
}

// Dropped returns the number of spans that were dropped because the export queue was full
// or the export failed.
func (t *Tracer) Dropped() uint64 {
	if t == nil {
		return 0
	}
	return t.queue.dropped.Load()
}

// Stop exports the queued spans and shuts the exporter down. It waits until ctx is done at
// most.
func (t *Tracer) Stop(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Wrap(t.provider.Shutdown(ctx), "stop tracing")
}

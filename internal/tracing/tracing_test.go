package tracing

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	traceID     = "0af7651916cd43dd8448eb211c80319c"
	traceparent = "00-" + traceID + "-b7ad6b7169203331-01"
)

var start = time.Unix(1_700_000_000, 0)

// emitRetriedRequest emits the events of a request whose first attempt fails and whose
// second attempt is answered.
func emitRetriedRequest(hop *Hop, header http.Header) {
	hop.Emit(event.Event{Code: event.RequestReceived, At: start, Service: "catalogue"})
	hop.Emit(event.Event{Code: event.UpstreamChosen, At: start, Upstream: "c-1", Attempt: 1})
	hop.Inject(1, header)
	hop.Emit(event.Event{Code: event.AttemptFailed, At: start.Add(time.Millisecond), Attempt: 1, Reason: "connect-failed"})
	hop.Emit(event.Event{Code: event.RetrySent, At: start.Add(time.Millisecond), Attempt: 2})
	hop.Emit(event.Event{Code: event.UpstreamChosen, At: start.Add(time.Millisecond), Upstream: "c-2", Attempt: 2})
	hop.Inject(2, header)
	hop.Emit(event.Event{Code: event.RequestAnswered, At: start.Add(3 * time.Millisecond), Upstream: "c-2", Attempt: 2, Value: 200})
	hop.End()
}

func TestSpansOfARetriedRequest(t *testing.T) {
	is := is.New(t)
	out := tracetest.NewInMemoryExporter()
	tracer := newTracer(Config{}, out)
	header := http.Header{"Traceparent": {traceparent}}
	emitRetriedRequest(tracer.Begin("r-1", header, start), header)
	is.NoErr(tracer.provider.ForceFlush(context.Background()))
	spans := out.GetSpans()
	is.Equal(len(spans), 3)
	first, second, server := spans[0], spans[1], spans[2]
	is.Equal(server.Name, "request")
	is.Equal(server.Parent.SpanID().String(), "b7ad6b7169203331")
	is.Equal(server.EndTime.Sub(server.StartTime), 3*time.Millisecond)
	is.Equal(first.Status.Code, codes.Error)
	is.Equal(second.Status.Code, codes.Ok)
	for _, s := range spans {
		is.Equal(s.SpanContext.TraceID().String(), traceID)
	}
	is.Equal(second.Parent.SpanID(), server.SpanContext.SpanID())
	is.True(strings.Contains(header.Get("traceparent"), second.SpanContext.SpanID().String())) // what the upstream sees
	is.Equal(len(server.Events), 2)                                                            // received, retry sent
	is.NoErr(tracer.Stop(context.Background()))
}

func TestUnsampledRequestsAreNotExportedButPropagated(t *testing.T) {
	is := is.New(t)
	out := tracetest.NewInMemoryExporter()
	tracer := newTracer(Config{Ratio: 1}, out)
	header := http.Header{"Traceparent": {strings.TrimSuffix(traceparent, "1") + "0"}}
	emitRetriedRequest(tracer.Begin("r-1", header, start), header)
	is.NoErr(tracer.provider.ForceFlush(context.Background()))
	is.Equal(len(out.GetSpans()), 0)
	is.True(strings.HasPrefix(header.Get("traceparent"), "00-"+traceID))
}

func TestHeaderIsUnchangedIfTracingIsOff(t *testing.T) {
	is := is.New(t)
	tracer, err := New(context.Background(), Config{})
	is.NoErr(err)
	is.True(tracer == nil)
	header := http.Header{"Traceparent": {traceparent}}
	emitRetriedRequest(tracer.Begin("r-1", header, start), header)
	is.Equal(header.Get("traceparent"), traceparent)
	is.NoErr(tracer.Stop(context.Background()))
	_, err = New(context.Background(), Config{Endpoint: "127.0.0.1:1", Ratio: 2})
	is.True(err != nil)
}

// TestHedgedAttempts runs two attempts of one request concurrently, for the race detector.
func TestHedgedAttempts(t *testing.T) {
	is := is.New(t)
	out := tracetest.NewInMemoryExporter()
	tracer := newTracer(Config{Ratio: 1}, out)
	hop := tracer.Begin("r-1", http.Header{}, start)
	var wg sync.WaitGroup
	for n := 1; n <= 2; n++ {
		wg.Go(func() {
			header := http.Header{}
			hop.Emit(event.Event{Code: event.UpstreamChosen, Attempt: n, At: start})
			hop.Inject(n, header)
			is.True(header.Get("traceparent") != "")
			if n == 1 {
				hop.Emit(event.Event{Code: event.RequestAnswered, Attempt: n, At: start})
			}
		})
	}
	wg.Wait()
	hop.End()
	hop.End()
	is.NoErr(tracer.provider.ForceFlush(context.Background()))
	is.Equal(len(out.GetSpans()), 3) // the span of the attempt that lost is ended too
}

// failingExporter is an exporter whose exports all fail.
type failingExporter struct{ sdktrace.SpanExporter }

func (failingExporter) ExportSpans(context.Context, []sdktrace.ReadOnlySpan) error {
	return errors.New("collector is unavailable")
}
func (failingExporter) Shutdown(context.Context) error { return nil }

func TestSpansOfFailedExportsAreCounted(t *testing.T) {
	is := is.New(t)
	tracer := newTracer(Config{Ratio: 1}, failingExporter{})
	emitRetriedRequest(tracer.Begin("r-1", http.Header{}, start), http.Header{})
	is.NoErr(tracer.Stop(context.Background()))
	is.Equal(tracer.Dropped(), uint64(3))
}

// countingCollector is a collector that reports the number of spans of each export.
type countingCollector struct {
	collector.UnimplementedTraceServiceServer
	spans chan int
}

func (s *countingCollector) Export(_ context.Context, req *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	s.spans <- len(req.GetResourceSpans()[0].GetScopeSpans()[0].GetSpans())
	return &collector.ExportTraceServiceResponse{}, nil
}

func TestExportOverOTLP(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &countingCollector{spans: make(chan int, 1)}
	server := grpc.NewServer()
	collector.RegisterTraceServiceServer(server, s)
	go func() { _ = server.Serve(ln) }()
	defer server.Stop()
	tracer, err := New(context.Background(), Config{Endpoint: ln.Addr().String(), Ratio: 1})
	is.NoErr(err)
	emitRetriedRequest(tracer.Begin("r-1", http.Header{}, start), http.Header{})
	is.NoErr(tracer.Stop(context.Background()))
	is.Equal(<-s.spans, 3)
}

// discardExporter is an exporter that discards all spans, for benchmarks.
type discardExporter struct{}

func (discardExporter) ExportSpans(context.Context, []sdktrace.ReadOnlySpan) error { return nil }
func (discardExporter) Shutdown(context.Context) error                             { return nil }

func benchmarkHop(b *testing.B, tracer *Tracer) {
	b.ReportAllocs()
	for b.Loop() {
		header := http.Header{}
		hop := tracer.Begin("r-1", header, start)
		hop.Emit(event.Event{Code: event.RequestReceived, At: start, Service: "catalogue"})
		hop.Emit(event.Event{Code: event.UpstreamChosen, At: start, Upstream: "c-1", Attempt: 1})
		hop.Inject(1, header)
		hop.Emit(event.Event{Code: event.RequestAnswered, At: start, Upstream: "c-1", Attempt: 1, Value: 200})
		hop.End()
	}
}

func BenchmarkHopOff(b *testing.B)       { benchmarkHop(b, nil) }
func BenchmarkHopUnsampled(b *testing.B) { benchmarkHop(b, newTracer(Config{}, discardExporter{})) }
func BenchmarkHopSampled(b *testing.B) {
	benchmarkHop(b, newTracer(Config{Ratio: 1}, discardExporter{}))
}

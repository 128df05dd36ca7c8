package tracing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// queueLength is the maximum number of ended spans that wait for export.
	queueLength = 8192
	// batchSize is the maximum number of spans in one export.
	batchSize = 512
	// exportInterval is the longest time that a span waits for its batch to fill.
	exportInterval = time.Second
	// exportTimeout bounds one export.
	exportTimeout = 5 * time.Second
)

// queue is a span processor that never blocks a request: when the queue is full, spans are
// dropped and counted. The library's own batch processor does not report how many it drops.
type queue struct {
	exporter sdktrace.SpanExporter
	spans    chan sdktrace.ReadOnlySpan
	flush    chan chan struct{}
	stop     chan struct{}
	stopped  chan struct{}
	once     sync.Once
	dropped  atomic.Uint64
}

func newQueue(exporter sdktrace.SpanExporter) *queue {
	q := &queue{
		exporter: exporter,
		spans:    make(chan sdktrace.ReadOnlySpan, queueLength),
		flush:    make(chan chan struct{}),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go q.run()
	return q
}

// OnStart implements sdktrace.SpanProcessor.
func (q *queue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements sdktrace.SpanProcessor.
func (q *queue) OnEnd(s sdktrace.ReadOnlySpan) {
	if !s.SpanContext().IsSampled() {
		return
	}
	select {
	case q.spans <- s:
	default:
		q.dropped.Add(1)
	}
}

// run exports batches until the queue is stopped, and then exports the remaining spans.
func (q *queue) run() {
	defer close(q.stopped)
	ticker := time.NewTicker(exportInterval)
	defer ticker.Stop()
	batch := make([]sdktrace.ReadOnlySpan, 0, batchSize)
	for {
		select {
		case s := <-q.spans:
			batch = append(batch, s)
			if len(batch) < batchSize {
				continue
			}
			batch = q.export(batch)
		case <-ticker.C:
			batch = q.export(batch)
		case done := <-q.flush:
			batch = q.drain(batch)
			close(done)
		case <-q.stop:
			q.drain(batch)
			return
		}
	}
}

// drain exports the batch and all queued spans.
func (q *queue) drain(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	for {
		select {
		case s := <-q.spans:
			batch = append(batch, s)
			if len(batch) == batchSize {
				batch = q.export(batch)
			}
		default:
			return q.export(batch)
		}
	}
}

func (q *queue) export(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	if len(batch) == 0 {
		return batch
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := q.exporter.ExportSpans(ctx, batch); err != nil {
		q.dropped.Add(uint64(len(batch)))
	}
	return batch[:0]
}

// ForceFlush implements sdktrace.SpanProcessor.
func (q *queue) ForceFlush(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case q.flush <- done:
	case <-q.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown implements sdktrace.SpanProcessor.
func (q *queue) Shutdown(ctx context.Context) error {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.stopped:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

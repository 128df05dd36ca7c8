package tracing

import (
	"context"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Hop is one request on this entry host. Its methods may be called by several
// goroutines, as hedged attempts do.
type Hop struct {
	tracer    *Tracer
	ctx       context.Context
	server    trace.Span
	recording bool

	mu       sync.Mutex
	ended    bool
	attempts []attempt
}

// attempt is one send with its client span.
type attempt struct {
	number int
	ctx    context.Context
	span   trace.Span
	ended  bool
}

// Emit turns a decision on this request into spans. It implements event.Sink.
// A request that isn't sampled has no client spans: its sends carry the server
// span's context, which tells the upstream that it isn't sampled.
func (h *Hop) Emit(e event.Event) {
	if h == nil || !h.recording {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	switch e.Code {
	case event.UpstreamChosen:
		h.startAttempt(&e)
	case event.AttemptFailed:
		h.endAttempt(&e, codes.Error)
	case event.RequestAnswered:
		h.endAttempt(&e, codes.Ok)
		h.finish(&e)
	case event.RequestRefused, event.RequestUnknown:
		h.finish(&e)
	default:
		h.note(&e)
	}
}

func (h *Hop) startAttempt(e *event.Event) {
	ctx, span := h.tracer.tracer.Start(h.ctx, "attempt",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithTimestamp(e.At))
	h.attempts = append(h.attempts, attempt{number: e.Attempt, ctx: ctx, span: span})
	span.SetAttributes(attributes(e)...)
}

// endAttempt ends the newest open attempt with the event's number.
func (h *Hop) endAttempt(e *event.Event, status codes.Code) {
	for i := len(h.attempts) - 1; i >= 0; i-- {
		a := &h.attempts[i]
		if a.number != e.Attempt || a.ended {
			continue
		}
		a.span.SetAttributes(attributes(e)...)
		a.span.SetStatus(status, e.Reason)
		a.span.End(trace.WithTimestamp(e.At))
		a.ended = true
		return
	}
	h.note(e)
}

// finish ends the server span with the answer to the caller.
func (h *Hop) finish(e *event.Event) {
	h.server.SetAttributes(attributes(e)...)
	h.server.SetAttributes(attribute.Int64("http.response.status_code", e.Value))
	if e.Code != event.RequestAnswered {
		h.server.SetStatus(codes.Error, e.Reason)
	}
	h.server.End(trace.WithTimestamp(e.At))
}

// note adds a decision that is neither a start nor an end to the server span.
func (h *Hop) note(e *event.Event) {
	h.server.AddEvent(e.Code.String(), trace.WithTimestamp(e.At), trace.WithAttributes(attributes(e)...))
}

// Inject sets the traceparent header of a send to its client span. It is
// called after the attempt's UpstreamChosen event.
func (h *Hop) Inject(number int, header http.Header) {
	if h == nil {
		return
	}
	if !h.recording {
		h.tracer.propagator.Inject(h.ctx, propagation.HeaderCarrier(header))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.attempts) - 1; i >= 0; i-- {
		if h.attempts[i].number == number {
			h.tracer.propagator.Inject(h.attempts[i].ctx, propagation.HeaderCarrier(header))
			return
		}
	}
}

// End ends the spans that are still open, such as those of a hedge that lost
// or of a caller that went away. It may be called more than once.
func (h *Hop) End() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	for i := range h.attempts {
		if !h.attempts[i].ended {
			h.attempts[i].span.End()
		}
	}
	h.server.End()
}

// attributes are the fields of an event that are set.
func attributes(e *event.Event) []attribute.KeyValue {
	out := make([]attribute.KeyValue, 0, 6)
	add := func(key, value string) {
		if value != "" {
			out = append(out, attribute.String(key, value))
		}
	}
	add("dapplespindle.service", e.Service)
	add("dapplespindle.rule", e.Rule)
	add("dapplespindle.upstream", e.Upstream)
	add("dapplespindle.reason", e.Reason)
	add("dapplespindle.detail", e.Detail)
	if e.Attempt > 0 {
		out = append(out, attribute.Int("dapplespindle.attempt", e.Attempt))
	}
	return out
}

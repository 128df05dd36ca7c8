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

// Hop traces a request on this entry host. Its methods are safe for concurrent use, which
// hedged attempts rely on.
type Hop struct {
	tracer    *Tracer
	ctx       context.Context
	server    trace.Span
	recording bool

	mu       sync.Mutex
	ended    bool
	attempts []attempt
}

// attempt is one attempt to send the request, with its client span.
type attempt struct {
	number int
	ctx    context.Context
	span   trace.Span
	ended  bool
}

// Emit records a decision about this request in its spans. It implements event.Sink.
// A request that isn't sampled has no client spans: its attempts carry the server span's
// context, which tells the upstream that the request isn't sampled.
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

// endAttempt ends the newest open attempt with the event's attempt number. If there is
// none, the event is added to the server span.
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

// finish ends the server span with the response to the caller.
func (h *Hop) finish(e *event.Event) {
	h.server.SetAttributes(attributes(e)...)
	h.server.SetAttributes(attribute.Int64("http.response.status_code", e.Value))
	if e.Code != event.RequestAnswered {
		h.server.SetStatus(codes.Error, e.Reason)
	}
	h.server.End(trace.WithTimestamp(e.At))
}

// note adds the event to the server span as a span event.
func (h *Hop) note(e *event.Event) {
	h.server.AddEvent(e.Code.String(), trace.WithTimestamp(e.At), trace.WithAttributes(attributes(e)...))
}

// Inject sets the traceparent header of an attempt to its client span. It is called after
// the attempt's UpstreamChosen event.
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

// End ends the spans that are still open, such as that of a hedged attempt that lost or
// those of a request whose caller disconnected. It may be called more than once.
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

// attributes returns the non-empty fields of an event as span attributes.
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

package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Rate limits for log lines. A line is about 250 bytes, so that an entry host writes less
// than 100 KB per second in the long run, however many requests fail.
const (
	// LinesPerSecond is the sustained rate limit for lines about requests.
	LinesPerSecond = 200
	// LineBurst is the burst limit for lines about requests.
	LineBurst = 1000
	// OrdinaryReserve is the part of the burst that is reserved for notable requests:
	// ordinary requests are written only if this many lines remain afterwards.
	OrdinaryReserve = 500
	// OrdinarySampling is the sampling interval for ordinary requests: one in this many is
	// written.
	OrdinarySampling = 256
	// OtherPerSecond and OtherBurst are the rate limits for lines that don't belong to a
	// request.
	OtherPerSecond = 50
	OtherBurst     = 500
	// bufferedLines is the number of lines that are buffered for a slow reader of the output.
	bufferedLines = 4096
)

// NewNonBlockingWriter returns a writer that never waits for w: lines that don't fit into its buffer
// are dropped and counted. Close writes the buffered lines.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	n := new(NonBlockingWriter)
	n.Writer = diode.NewWriter(w, bufferedLines, 0, func(missed int) { n.dropped.Add(int64(missed)) })
	return n
}

// NonBlockingWriter is an io.Writer whose Write does not block.
type NonBlockingWriter struct {
	diode.Writer
	dropped atomic.Int64
}

// Dropped returns the number of lines that were dropped because the buffer was full.
func (n *NonBlockingWriter) Dropped() int64 { return n.dropped.Load() }

// RequestLogger writes all events of a request when the request ends, within a rate limit.
// Notable requests (failed, refused, retried or late) take precedence over ordinary ones,
// which are sampled. It is safe for concurrent use.
type RequestLogger struct {
	sink     *Sink
	limit    tokenBucket
	ordinary atomic.Int64
	dropped  atomic.Int64
}

// NewRequestLogger returns a RequestLogger that writes to sink.
func NewRequestLogger(sink *Sink) *RequestLogger {
	return &RequestLogger{sink: sink, limit: tokenBucket{perSecond: LinesPerSecond, capacity: LineBurst, tokens: LineBurst}}
}

// LogRequest writes the events of a request that has ended, oldest first, if the rate limit
// allows it. It does not retain the slice.
func (l *RequestLogger) LogRequest(events []event.Event, notable bool) {
	if len(events) == 0 {
		return
	}
	if !l.admit(events[len(events)-1].At, len(events), notable) {
		return
	}
	for i := range events {
		l.sink.Write(events[i])
	}
}

// admit reports whether the lines of a request may be written. A request that the rate
// limit rejects is counted as dropped; an ordinary one that sampling skips is not.
func (l *RequestLogger) admit(now time.Time, lines int, notable bool) bool {
	reserve := 0.0
	if !notable {
		if l.ordinary.Add(1)%OrdinarySampling != 1 {
			return false
		}
		reserve = OrdinaryReserve
	}
	if !l.limit.take(now, lines, reserve) {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Dropped returns the number of requests whose events were not written because of the rate
// limit.
func (l *RequestLogger) Dropped() int64 { return l.dropped.Load() }

// ProcessLogger writes the events that don't belong to a request. Warnings and errors are
// always written; other events, such as load queries that an upstream did not answer, are
// subject to a rate limit of their own. It is safe for concurrent use.
type ProcessLogger struct {
	sink    *Sink
	limit   tokenBucket
	dropped atomic.Int64
}

// NewProcessLogger returns a ProcessLogger that writes to sink.
func NewProcessLogger(sink *Sink) *ProcessLogger {
	return &ProcessLogger{sink: sink, limit: tokenBucket{perSecond: OtherPerSecond, capacity: OtherBurst, tokens: OtherBurst}}
}

// Emit implements event.Sink.
func (l *ProcessLogger) Emit(e event.Event) {
	if e.Request != "" {
		return
	}
	if event.Catalogue[e.Code].Level < event.Warn && !l.limit.take(e.At, 1, 0) {
		l.dropped.Add(1)
		return
	}
	l.sink.Emit(e)
}

// Dropped returns the number of lines that were not written because of the rate limit.
func (l *ProcessLogger) Dropped() int64 { return l.dropped.Load() }

// tokenBucket limits the rate of lines; a line costs one token. It is safe for concurrent
// use.
type tokenBucket struct {
	perSecond, capacity float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// take removes a token per line if at least reserve tokens remain afterwards, and reports
// whether it did.
func (b *tokenBucket) take(now time.Time, lines int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.capacity)
		b.refilledAt = now
	}
	if b.tokens < reserve+float64(lines) {
		return false
	}
	b.tokens -= float64(lines)
	return true
}

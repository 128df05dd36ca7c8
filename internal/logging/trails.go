package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Bounds of what an entry host writes. A line is about 250 bytes, so that the
// lines of a second stay below 100 KB however many requests fail.
const (
	// LinesPerSecond bounds the lines about requests, in the long run.
	LinesPerSecond = 200
	// LineBurst bounds those of a burst.
	LineBurst = 1000
	// OrdinaryReserve is what is left of a burst for requests that failed: ordinary
	// ones are written only while more than this is left.
	OrdinaryReserve = 500
	// OrdinarySampling is the number of ordinary requests of which one is written.
	OrdinarySampling = 256
	// OtherPerSecond and OtherBurst bound the lines that are about no request.
	OtherPerSecond = 50
	OtherBurst     = 500
	// bufferedLines is the number of lines that wait for the reader of the output.
	bufferedLines = 4096
)

// NonBlocking returns a writer that never waits for w: lines that find no room
// are dropped and counted. Close writes what waits.
func NonBlocking(w io.Writer) *NonBlockingWriter {
	n := new(NonBlockingWriter)
	n.Writer = diode.NewWriter(w, bufferedLines, 0, func(missed int) { n.dropped.Add(int64(missed)) })
	return n
}

// NonBlockingWriter is an io.Writer whose Write does not wait.
type NonBlockingWriter struct {
	diode.Writer
	dropped atomic.Int64
}

// Dropped returns the number of lines that found no room.
func (n *NonBlockingWriter) Dropped() int64 { return n.dropped.Load() }

// RequestLogger writes all events of a request at its end, if the request is worth it
// and the bound allows it: one that failed, was refused, sent again or late in
// preference to an ordinary one. It is safe for concurrent use.
type RequestLogger struct {
	sink     *Sink
	bound    bucket
	ordinary atomic.Int64
	dropped  atomic.Int64
}

// NewRequestLogger returns a writer of trails to a sink.
func NewRequestLogger(sink *Sink) *RequestLogger {
	return &RequestLogger{sink: sink, bound: bucket{perSecond: LinesPerSecond, most: LineBurst, left: LineBurst}}
}

// Ended takes in the events of one request, oldest first. It keeps none.
func (t *RequestLogger) Ended(trail []event.Event, notable bool) {
	if len(trail) == 0 {
		return
	}
	if !t.admit(trail[len(trail)-1].At, len(trail), notable) {
		return
	}
	for i := range trail {
		t.sink.Write(trail[i])
	}
}

// admit takes the lines out of the bound, or counts the request as dropped.
func (t *RequestLogger) admit(now time.Time, lines int, notable bool) bool {
	reserve := 0.0
	if !notable {
		if t.ordinary.Add(1)%OrdinarySampling != 1 {
			return false
		}
		reserve = OrdinaryReserve
	}
	if !t.bound.take(now, lines, reserve) {
		t.dropped.Add(1)
		return false
	}
	return true
}

// Dropped returns the number of requests whose events were not written for the
// bound's sake.
func (t *RequestLogger) Dropped() int64 { return t.dropped.Load() }

// ProcessLogger writes the events that are about no request. Warnings and
// errors are always written; the others, such as questions that an upstream did
// not answer, within a bound of their own. It is safe for concurrent use.
type ProcessLogger struct {
	sink    *Sink
	bound   bucket
	dropped atomic.Int64
}

// NewProcessLogger returns a writer to a sink.
func NewProcessLogger(sink *Sink) *ProcessLogger {
	return &ProcessLogger{sink: sink, bound: bucket{perSecond: OtherPerSecond, most: OtherBurst, left: OtherBurst}}
}

// Emit implements event.Sink.
func (w *ProcessLogger) Emit(e event.Event) {
	if e.Request != "" {
		return
	}
	if event.Catalogue[e.Code].Level < event.Warn && !w.bound.take(e.At, 1, 0) {
		w.dropped.Add(1)
		return
	}
	w.sink.Emit(e)
}

// Dropped returns the number of lines that were not written for the bound's sake.
func (w *ProcessLogger) Dropped() int64 { return w.dropped.Load() }

// bucket bounds lines over time. It is safe for concurrent use.
type bucket struct {
	perSecond, most float64

	mu   sync.Mutex
	left float64
	at   time.Time
}

// take takes lines out of the bucket if reserve is left in it afterwards.
func (b *bucket) take(now time.Time, lines int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.at); passed > 0 {
		b.left = min(b.left+passed.Seconds()*b.perSecond, b.most)
		b.at = now
	}
	if b.left < reserve+float64(lines) {
		return false
	}
	b.left -= float64(lines)
	return true
}

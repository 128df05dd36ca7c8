package logging

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// refusedRequest returns the events of a request that was refused at the given time.
func refusedRequest(at time.Time, lines int) []event.Event {
	out := make([]event.Event, lines)
	for i := range out {
		out[i] = event.Event{Code: event.RequestRefused, At: at, Request: "r"}
	}
	return out
}

func TestTrailsAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewRequestLogger(New(&out, zerolog.InfoLevel))
	start := time.Unix(1000, 0)
	for i := range 10_000 { // in one second
		logger.LogRequest(refusedRequest(start.Add(time.Duration(i)*100*time.Microsecond), 4), true)
	}
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(lines <= LineBurst+LinesPerSecond)
	is.True(lines >= LineBurst)
	is.Equal(int64(10_000-lines/4), logger.Dropped())
}

// TestNotableRequestsTakePrecedence checks that ordinary requests can't use up the burst
// that is reserved for notable ones.
func TestNotableRequestsTakePrecedence(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewRequestLogger(New(&out, zerolog.InfoLevel))
	at := time.Unix(1000, 0)
	for range 100 * OrdinarySampling {
		logger.LogRequest(refusedRequest(at, 100), false)
	}
	ordinary := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(ordinary > 0 && ordinary <= LineBurst-OrdinaryReserve)
	logger.LogRequest(refusedRequest(at, OrdinaryReserve), true)
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), ordinary+OrdinaryReserve)
}

// stalledWriter blocks each Write while its mutex is locked, like an output whose reader
// stopped reading.
type stalledWriter struct {
	mu sync.Mutex
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(b), nil
}

func TestSlowReaderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	output := new(stalledWriter)
	output.mu.Lock()
	w := NewNonBlockingWriter(output)
	log := New(w, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferedLines {
			log.Emit(event.Event{Code: event.ProcessStarted})
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing log lines blocked on a stalled output for 10 s")
	}
	output.mu.Unlock()
	is.NoErr(w.Close())
	is.True(w.Dropped() > 0)
}

func TestProcessLoggerSkipsEventsOfRequests(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	sink := NewProcessLogger(New(&out, zerolog.InfoLevel))
	sink.Emit(event.Event{Code: event.RequestRefused, Request: "r"})
	is.Equal(out.Len(), 0)
	sink.Emit(event.Event{Code: event.ProcessStarted})
	is.True(out.Len() > 0)
}

func TestLinesWithoutRequestAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	sink := NewProcessLogger(New(&out, zerolog.InfoLevel))
	at := time.Unix(1000, 0)
	for range 10 * OtherBurst {
		sink.Emit(event.Event{Code: event.ProbeFailed, At: at})
	}
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), OtherBurst)
	is.Equal(sink.Dropped(), int64(9*OtherBurst))
	sink.Emit(event.Event{Code: event.StoreLost, At: at}) // a warning
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), OtherBurst+1)
}

var _ io.Writer = (*NonBlockingWriter)(nil)

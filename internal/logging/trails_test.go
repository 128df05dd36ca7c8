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

func trailAt(at time.Time, lines int) []event.Event {
	out := make([]event.Event, lines)
	for i := range out {
		out[i] = event.Event{Code: event.RequestRefused, At: at, Request: "r"}
	}
	return out
}

func TestTrailsAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	trails := NewRequestLogger(New(&out, zerolog.InfoLevel))
	start := time.Unix(1000, 0)
	for i := range 10_000 { // in one second
		trails.Ended(trailAt(start.Add(time.Duration(i)*100*time.Microsecond), 4), true)
	}
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(lines <= LineBurst+LinesPerSecond)
	is.True(lines >= LineBurst)
	is.Equal(int64(10_000-lines/4), trails.Dropped())
}

// TestFailedRequestsGoFirst: ordinary requests can't use up the bound.
func TestFailedRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	trails := NewRequestLogger(New(&out, zerolog.InfoLevel))
	at := time.Unix(1000, 0)
	for range 100 * OrdinarySampling {
		trails.Ended(trailAt(at, 100), false)
	}
	ordinary := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(ordinary > 0 && ordinary <= LineBurst-OrdinaryReserve)
	trails.Ended(trailAt(at, OrdinaryReserve), true)
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), ordinary+OrdinaryReserve)
}

// stuck is a reader of the output that stopped reading.
type stuck struct {
	mu sync.Mutex
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(b), nil
}

func TestSlowReaderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	reader := new(stuck)
	reader.mu.Lock()
	w := NonBlocking(reader)
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
		t.Fatal("a writer waits for the reader")
	}
	reader.mu.Unlock()
	is.NoErr(w.Close())
	is.True(w.Dropped() > 0)
}

func TestOnlyEventsWithoutRequestPass(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	sink := NewProcessLogger(New(&out, zerolog.InfoLevel))
	sink.Emit(event.Event{Code: event.RequestRefused, Request: "r"})
	is.Equal(out.Len(), 0)
	sink.Emit(event.Event{Code: event.ProcessStarted})
	is.True(out.Len() > 0)
}

func TestOtherLinesAreBounded(t *testing.T) {
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

// Package logging writes decision events as structured, numbered log lines.
package logging

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

var levels = [...]zerolog.Level{
	event.Debug: zerolog.DebugLevel,
	event.Info:  zerolog.InfoLevel,
	event.Warn:  zerolog.WarnLevel,
	event.Error: zerolog.ErrorLevel,
}

// timeFormat is RFC 3339 with milliseconds, so that lines of several hosts can be ordered
// by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Sink writes events to a zerolog logger.
type Sink struct {
	log zerolog.Logger
}

// New returns a sink that writes JSON lines of at least the given level to w.
func New(w io.Writer, level zerolog.Level) *Sink {
	return &Sink{log: zerolog.New(w).Level(level)}
}

// Emit implements event.Sink.
func (s *Sink) Emit(e event.Event) {
	entry := event.Catalogue[e.Code]
	if levels[entry.Level] >= s.log.GetLevel() {
		s.Write(e)
	}
}

// Write writes an event regardless of its level.
func (s *Sink) Write(e event.Event) {
	entry := event.Catalogue[e.Code]
	line := s.log.Log().Str(zerolog.LevelFieldName, levels[entry.Level].String())
	line.Str("time", e.At.Format(timeFormat)).
		Uint16("event", uint16(e.Code)).
		Str("name", entry.Name).
		Str("host", e.EntryHost)
	addString(line, "request", e.Request)
	addString(line, "service", e.Service)
	addString(line, "rule", e.Rule)
	addString(line, "upstream", e.Upstream)
	addString(line, "reason", e.Reason)
	addString(line, "detail", e.Detail)
	if e.Attempt > 0 {
		line.Int("attempt", e.Attempt)
	}
	if entry.Unit != "" {
		line.Int64("value", e.Value)
	}
	if e.Elapsed > 0 {
		line.Int64("elapsed_us", e.Elapsed.Microseconds())
	}
	if e.Version > 0 {
		line.Uint64("config_version", e.Version)
	}
	if l := e.Load; l != nil {
		line.Int("load_in_flight", l.InFlight).
			Int("load_slots", l.Slots).
			Float64("load_slowdown", l.Slowdown).
			Int64("load_age_us", l.Age.Microseconds())
	}
	line.Send()
}

func addString(line *zerolog.Event, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

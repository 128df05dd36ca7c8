package logging

import (
	"fmt"
	"strings"
	"time"

	nbiolog "github.com/lesismal/nbio/logging"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// library passes the event loop's own messages on as numbered events. Its
// debug and info lines are dropped.
type library struct {
	events event.Sink
}

// CaptureLibrary sends the event loop library's warnings and errors to events
// instead of standard output. It changes a variable of the library, so it is
// called once, before any engine is made.
func CaptureLibrary(events event.Sink) {
	nbiolog.SetLogger(library{events})
}

// SetLevel does nothing: levels are ours.
func (library) SetLevel(int) {}

// Debug drops the message.
func (library) Debug(string, ...any) {}

// Info drops the message.
func (library) Info(string, ...any) {}

// Warn emits the message.
func (l library) Warn(format string, v ...any) { l.emit(format, v) }

// Error emits the message.
func (l library) Error(format string, v ...any) { l.emit(format, v) }

func (l library) emit(format string, v []any) {
	l.events.Emit(event.Event{
		Code:   event.LibraryMessage,
		At:     time.Now(),
		Detail: strings.TrimSpace(fmt.Sprintf(format, v...)),
	})
}

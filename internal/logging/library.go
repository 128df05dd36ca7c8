package logging

import (
	"fmt"
	"strings"
	"time"

	nbiolog "github.com/lesismal/nbio/logging"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// library forwards the event loop library's own messages as numbered events. Its debug and
// info messages are dropped.
type library struct {
	events event.Sink
}

// CaptureLibrary sends the event loop library's warnings and errors to events instead of
// standard output. It sets a global variable of the library, so it is called once, before
// any engine is created.
func CaptureLibrary(events event.Sink) {
	nbiolog.SetLogger(library{events})
}

// SetLevel does nothing: event.Catalogue determines the levels.
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

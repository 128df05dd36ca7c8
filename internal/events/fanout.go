package events

import "github.com/dapplespindle/dapplespindle/pkg/event"

// Fanout forwards each event to several sinks in order.
type Fanout []event.Sink

// Emit implements event.Sink.
func (f Fanout) Emit(e event.Event) {
	for _, s := range f {
		s.Emit(e)
	}
}

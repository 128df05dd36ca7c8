// Package event defines the decision events: typed, numbered records of what
// the system decided and why. One event goes to the log, to the span of its
// hop and to the live stream. docs/EVENTS.md is the catalogue and is checked
// against Catalogue by a test.
package event

import "time"

// Code numbers an event. Codes are stable and never reused.
type Code uint16

// Level is the weight of an event in the log.
type Level uint8

// Levels, from the most frequent to the gravest.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// Event is one decision. Unused fields are zero. It is passed by value, so
// that emitting one does not allocate.
type Event struct {
	// Code says what was decided.
	Code Code
	// At is when.
	At time.Time
	// EntryHost is the IP of the deciding host.
	EntryHost string
	// Request is the caller's request id.
	Request string
	// Service and Rule are those of the request.
	Service, Rule string
	// Upstream is the id of the upstream concerned.
	Upstream string
	// Reason is why, a short constant text.
	Reason string
	// Detail is free text for a person, such as an error.
	Detail string
	// Attempt counts the sends of this request, from 1.
	Attempt int
	// Value is the quantity that decided, in the unit the catalogue states.
	Value int64
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Version is that of the configuration which decided; 0 if none did.
	Version uint64
	// Load is what was known of the upstream's load; nil if nothing was.
	Load *Load
}

// Load is an upstream's load report as a decision used it.
type Load struct {
	// InFlight is the number of requests there, waiting ones included.
	InFlight int
	// Slots is the number of requests that it serves at the same time.
	Slots int
	// Slowdown is how long work takes there, relative to usual.
	Slowdown float64
	// Age is how old the report was.
	Age time.Duration
}

// Sink receives events. Emit is called on traffic goroutines: it must not
// block, and must count what it drops.
type Sink interface {
	Emit(Event)
}

// Discard is a Sink that drops every event.
type Discard struct{}

// Emit implements Sink.
func (Discard) Emit(Event) {}

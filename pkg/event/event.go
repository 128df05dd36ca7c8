// Package event defines decision events: typed, numbered records of what the system
// decided and why. Each event goes to the log, to the trace span of its hop and to the
// live stream. docs/EVENTS.md lists all events; a test checks it against Catalogue.
package event

import "time"

// Code identifies a kind of event. Codes are stable and never reused.
type Code uint16

// Level is the severity of an event.
type Level uint8

// Levels in order of increasing severity.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// Event records a decision. Unused fields are zero. Events are passed by value, so that
// emitting one does not allocate.
type Event struct {
	// Code identifies what was decided.
	Code Code
	// At is the time of the decision.
	At time.Time
	// EntryHost is the IP address of the entry host that decided.
	EntryHost string
	// Request is the caller's request ID.
	Request string
	// Service and Rule are those of the request.
	Service, Rule string
	// Upstream is the ID of the upstream concerned.
	Upstream string
	// Reason is a short text that states the cause, usually a constant.
	Reason string
	// Detail is free text for people, such as an error message.
	Detail string
	// Attempt is the number of the attempt to send this request, counted from 1.
	Attempt int
	// Value is the quantity that the decision was based on, in the unit that Catalogue states.
	Value int64
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Version is the version of the configuration that the decision was based on, or 0.
	Version uint64
	// Load is the upstream's last known load, or nil if it was unknown.
	Load *Load
}

// Load is the load report of an upstream that a decision was based on.
type Load struct {
	// InFlight is the number of requests at the upstream, including queued ones.
	InFlight int
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Slowdown is the upstream's service time relative to its usual one.
	Slowdown float64
	// Age is the age of the report at the time of the decision.
	Age time.Duration
}

// Sink receives events. Emit is called on the goroutines that serve requests: it must not
// block, and it must count the events that it drops.
type Sink interface {
	Emit(Event)
}

// Discard is a Sink that drops every event.
type Discard struct{}

// Emit implements Sink.
func (Discard) Emit(Event) {}

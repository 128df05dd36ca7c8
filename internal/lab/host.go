package lab

import (
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
)

// Request is a simulated request of a caller.
type Request struct {
	// Arrived is the time of arrival at the entry host.
	Arrived time.Time
	// Deadline is the time at which the caller gives up.
	Deadline time.Time
	// Attempts counts the attempts, including hedges.
	Attempts int
	// Tried lists the upstreams of earlier attempts.
	Tried []*balancer.Upstream

	queuedAt   time.Time              // when it was last queued
	queueEntry *queue.Entry[*Request] // set while it is queued
	sizeFactor float64                // multiplies the service time
	inFlight   int                    // attempts in flight
	cancels    []func()
	finished   bool
}

// Host makes the decisions of one simulated entry host.
type Host interface {
	// Arrive accepts a request. The host must finish every request with
	// Env.Finish.
	Arrive(*Request)
}

// Env is the environment of a Host.
type Env interface {
	// Clock returns the virtual clock.
	Clock() *Clock
	// Random returns the random source of the host.
	Random() *rand.Rand
	// Picker returns the current picker.
	Picker() balancer.Picker
	// Send sends an attempt to u. It calls done with the outcome after reporting
	// it to the picker. The returned function cancels the attempt at the upstream;
	// done is called nevertheless.
	Send(r *Request, u *balancer.Upstream, done func(balancer.Feedback)) (cancel func())
	// Finish ends a request. Calls after the first have no effect. ok is false if
	// the request was not answered in time.
	Finish(r *Request, ok bool)
}

// cancelOthers cancels the attempts that are still in flight.
func (r *Request) cancelOthers() {
	if r.inFlight == 0 {
		return
	}
	for _, cancel := range r.cancels {
		cancel()
	}
}

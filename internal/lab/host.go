package lab

import (
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/queue"
)

// Request is one request of a caller.
type Request struct {
	// Arrived is when it reached the entry host.
	Arrived time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Attempts counts the sends.
	Attempts int
	// Tried lists the upstreams of earlier sends.
	Tried []*balancer.Upstream

	waiting  time.Time              // when it began to wait
	entry    *queue.Entry[*Request] // while it waits
	size     float64                // factor on the service time
	sending  int                    // sends without an end
	cancels  []func()
	finished bool
}

// Host is the decision maker of one simulated entry host.
type Host interface {
	// Arrive takes a request. Every request ends in one call to Env.Finish.
	Arrive(*Request)
}

// Env is what a Host may use.
type Env interface {
	// Clock is the virtual time.
	Clock() *Clock
	// Random is the host's own source.
	Random() *rand.Rand
	// Picker is the picker in force.
	Picker() balancer.Picker
	// Send sends the request to u. Done is called with the end of the send,
	// after the picker learned of it. The returned function cancels the send at
	// the upstream, which still ends in done.
	Send(r *Request, u *balancer.Upstream, done func(balancer.Feedback)) (cancel func())
	// Finish ends a request. Only the first call counts; ok is false if it was
	// given up.
	Finish(r *Request, ok bool)
}

// cancelOthers cancels the sends that are still in flight.
func (r *Request) cancelOthers() {
	if r.sending == 0 {
		return
	}
	for _, cancel := range r.cancels {
		cancel()
	}
}

package lab

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// centralQueueHost is the reference: a single queue for all requests that knows
// the state of every slot and every slowdown immediately and has no delay between
// failure domains. It does not know service times in advance.
type centralQueueHost struct {
	env   *hostEnv
	queue []*Request
}

func newCentralQueueHost(env Env) Host { return &centralQueueHost{env: env.(*hostEnv)} }

// Arrive implements Host.
func (h *centralQueueHost) Arrive(r *Request) {
	if len(h.queue) >= h.maxQueueLength() {
		h.env.Finish(r, false)
		return
	}
	h.queue = append(h.queue, r)
	h.dispatch()
}

// maxQueueLength is the number of requests that all slots together serve within
// half a request deadline.
func (h *centralQueueHost) maxQueueLength() int {
	return int(h.env.sim.run.Workload.capacity() * requestDeadline.Seconds() / 2)
}

func (h *centralQueueHost) dispatch() {
	for len(h.queue) > 0 {
		r := h.queue[0]
		if h.env.sim.clock.Now().After(r.Deadline) {
			h.queue = h.queue[1:]
			h.env.Finish(r, false)
			continue
		}
		u := h.fastestFree()
		if u == nil {
			return
		}
		h.queue = h.queue[1:]
		h.send(r, u)
	}
}

func (h *centralQueueHost) send(r *Request, u *upstream) {
	r.Attempts++
	u.submit(&job{serviceTime: u.serviceTime(r.sizeFactor), done: func(o balancer.Outcome) {
		h.env.sim.clock.After(2*sameDomainDelay, func() {
			now := h.env.sim.clock.Now()
			h.env.Finish(r, o == balancer.Answered && !now.After(r.Deadline))
		})
		h.dispatch()
	}})
}

// fastestFree returns the fastest upstream with a free slot, or nil. An upstream
// that is slowed down is chosen only if waiting for the others would take longer.
func (h *centralQueueHost) fastestFree() *upstream {
	var best *upstream
	fastSlots := 0
	for _, u := range h.env.sim.upstreams {
		if u.failFast {
			continue
		}
		if u.serviceTimeFactor() <= 1 {
			fastSlots += u.slots
		}
		if u.busy < u.slots && (best == nil || u.serviceTimeFactor() < best.serviceTimeFactor()) {
			best = u
		}
	}
	if best == nil || best.serviceTimeFactor() <= 1 || fastSlots == 0 {
		return best
	}
	if wait := float64(len(h.queue)) / float64(fastSlots); wait+1 < best.serviceTimeFactor() {
		return nil
	}
	return best
}

package lab

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// centralHost is the reference: one queue for all requests, which sees every
// slot and every slow-down at once and pays no delay between domains. It is
// not clairvoyant about service times.
type centralHost struct {
	env     *hostEnv
	waiting []*Request
}

func newCentralHost(env Env) Host { return &centralHost{env: env.(*hostEnv)} }

// Arrive implements Host.
func (h *centralHost) Arrive(r *Request) {
	if len(h.waiting) >= h.maxWaiting() {
		h.env.Finish(r, false)
		return
	}
	h.waiting = append(h.waiting, r)
	h.drain()
}

// maxWaiting is the number of requests that are served in half a deadline.
func (h *centralHost) maxWaiting() int {
	return int(h.env.world.run.Workload.capacity() * requestDeadline.Seconds() / 2)
}

func (h *centralHost) drain() {
	for len(h.waiting) > 0 {
		r := h.waiting[0]
		if h.env.world.clock.Now().After(r.Deadline) {
			h.waiting = h.waiting[1:]
			h.env.Finish(r, false)
			continue
		}
		u := h.fastestFree()
		if u == nil {
			return
		}
		h.waiting = h.waiting[1:]
		h.send(r, u)
	}
}

func (h *centralHost) send(r *Request, u *upstream) {
	r.Attempts++
	u.submit(&job{service: u.serviceTime(r.size), done: func(o balancer.Outcome) {
		h.env.world.clock.After(2*sameDomainDelay, func() {
			now := h.env.world.clock.Now()
			h.env.Finish(r, o == balancer.Answered && !now.After(r.Deadline))
		})
		h.drain()
	}})
}

// fastestFree returns the fastest upstream with a free slot. A slow one is
// used only when the queue for the others would take longer.
func (h *centralHost) fastestFree() *upstream {
	var best *upstream
	others := 0
	for _, u := range h.env.world.upstreams {
		if u.failFast {
			continue
		}
		if u.speed() <= 1 {
			others += u.slots
		}
		if u.busy < u.slots && (best == nil || u.speed() < best.speed()) {
			best = u
		}
	}
	if best == nil || best.speed() <= 1 || others == 0 {
		return best
	}
	if wait := float64(len(h.waiting)) / float64(others); wait+1 < best.speed() {
		return nil
	}
	return best
}

package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// hostEnv implements Env and holds the entry host's view of the upstreams.
type hostEnv struct {
	sim         *simulation
	random      *rand.Rand
	domain      int
	host        Host
	policy      balancer.Policy
	picker      balancer.Picker
	records     []*balancer.Upstream
	servers     map[*balancer.Upstream]*upstream
	probeBudget probeBudget
}

func newHostEnv(s *simulation, i int) *hostEnv {
	h := &hostEnv{
		sim:     s,
		random:  rand.New(rand.NewPCG(s.run.Seed, firstHostStream+uint64(i))),
		domain:  i % s.run.Workload.FailureDomains,
		servers: make(map[*balancer.Upstream]*upstream),
	}
	for _, u := range s.upstreams {
		h.addRecord(u, time.Time{})
	}
	h.probeBudget = newProbeBudget(s.run)
	h.host = s.run.NewHost(h)
	if s.run.Builder == nil {
		return h
	}
	h.policy = s.run.Builder.Build(balancer.Options{
		Self:          i,
		EntryHosts:    s.run.Workload.EntryHosts,
		FailureDomain: domainName(h.domain),
		SlowStart:     warmUpTime,
	})
	h.picker = h.policy.Update(h.records)
	return h
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func (h *hostEnv) addRecord(u *upstream, joined time.Time) {
	r := &balancer.Upstream{
		ID:            u.id,
		FailureDomain: domainName(u.domain),
		Slots:         u.slots,
		Added:         joined,
	}
	h.records = append(h.records, r)
	h.servers[r] = u
}

// replaceRecord gives u a new record, as for an upstream that has just joined.
func (h *hostEnv) replaceRecord(u *upstream) {
	kept := make([]*balancer.Upstream, 0, len(h.records))
	for _, r := range h.records {
		if h.servers[r] != u {
			kept = append(kept, r)
		}
	}
	h.records = kept
	h.addRecord(u, h.sim.clock.Now())
	if h.policy != nil {
		h.picker = h.policy.Update(h.records)
	}
}

// Clock implements Env.
func (h *hostEnv) Clock() *Clock { return h.sim.clock }

// Random implements Env.
func (h *hostEnv) Random() *rand.Rand { return h.random }

// Picker implements Env.
func (h *hostEnv) Picker() balancer.Picker { return h.picker }

// Send implements Env.
func (h *hostEnv) Send(r *Request, u *balancer.Upstream, done func(balancer.Feedback)) (cancel func()) {
	r.Attempts++
	server := h.servers[u]
	call := u.Begin(h.sim.clock.Now())
	cancel = h.sim.sendJob(h, server, server.serviceTime(r.sizeFactor), func(f balancer.Feedback) {
		balancer.Finish(h.picker, call, f)
		done(f)
	})
	h.maybeProbe()
	return cancel
}

// Finish implements Env.
func (h *hostEnv) Finish(r *Request, ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	if h.sim.isMeasuredAt(r.Arrived.Sub(epoch)) {
		h.sim.result.recordRequest(r, h.sim.clock.Now(), ok)
	}
}

// maybeProbe sends a probe if the policy requests one and the budget allows it.
func (h *hostEnv) maybeProbe() {
	p, ok := h.picker.(balancer.Prober)
	if !ok || !h.probeBudget.allow(h.sim.clock.now) {
		return
	}
	u := p.Probe(h.sim.clock.Now(), h.random.Uint64())
	if u == nil {
		return
	}
	h.sim.result.Probes++
	h.sim.sendJob(h, h.servers[u], probeServiceTime, func(f balancer.Feedback) {
		balancer.FinishProbe(h.picker, u, f)
	})
}

// probeBudget is the entry host's equal share of the probe budget.
type probeBudget struct {
	interval time.Duration // minimum between two probes; 0 disables probes
	next     time.Duration
}

// newProbeBudget divides the probe budget evenly among the entry hosts.
func newProbeBudget(r Run) probeBudget {
	if r.ProbePercent <= 0 {
		return probeBudget{}
	}
	slots := float64(r.Workload.Upstreams * slotsPerUpstream)
	perSecond := r.ProbePercent / 100 * slots / probeServiceTime.Seconds()
	perHost := perSecond / float64(r.Workload.EntryHosts)
	interval := time.Duration(float64(time.Second) / perHost)
	return probeBudget{interval: interval, next: interval}
}

// allow reports whether a probe may be sent now. Unused probes do not accumulate.
func (p *probeBudget) allow(now time.Duration) bool {
	if p.interval == 0 || now < p.next {
		return false
	}
	p.next = now + p.interval
	return true
}

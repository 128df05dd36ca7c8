package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// hostEnv implements Env and keeps the entry host's records of the upstreams.
type hostEnv struct {
	world   *world
	random  *rand.Rand
	domain  int
	host    Host
	policy  balancer.Policy
	picker  balancer.Picker
	records []*balancer.Upstream
	fakes   map[*balancer.Upstream]*upstream
	prober  prober
}

func newHostEnv(w *world, i int) *hostEnv {
	h := &hostEnv{
		world:  w,
		random: rand.New(rand.NewPCG(w.run.Seed, streamHosts+uint64(i))),
		domain: i % w.run.Workload.FailureDomains,
		fakes:  make(map[*balancer.Upstream]*upstream),
	}
	for _, u := range w.upstreams {
		h.add(u, time.Time{})
	}
	h.prober = newProber(w.run)
	h.host = w.run.NewHost(h)
	if w.run.Builder == nil {
		return h
	}
	h.policy = w.run.Builder.Build(balancer.Options{
		Self:          i,
		EntryHosts:    w.run.Workload.EntryHosts,
		FailureDomain: domainName(h.domain),
		SlowStart:     coldTime,
	})
	h.picker = h.policy.Update(h.records)
	return h
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func (h *hostEnv) add(u *upstream, added time.Time) {
	r := &balancer.Upstream{
		ID:            u.id,
		FailureDomain: domainName(u.domain),
		Slots:         u.slots,
		Added:         added,
	}
	h.records = append(h.records, r)
	h.fakes[r] = u
}

// replace gives u a fresh record, as for a server that has just joined.
func (h *hostEnv) replace(u *upstream) {
	kept := make([]*balancer.Upstream, 0, len(h.records))
	for _, r := range h.records {
		if h.fakes[r] != u {
			kept = append(kept, r)
		}
	}
	h.records = kept
	h.add(u, h.world.clock.Now())
	if h.policy != nil {
		h.picker = h.policy.Update(h.records)
	}
}

// Clock implements Env.
func (h *hostEnv) Clock() *Clock { return h.world.clock }

// Random implements Env.
func (h *hostEnv) Random() *rand.Rand { return h.random }

// Picker implements Env.
func (h *hostEnv) Picker() balancer.Picker { return h.picker }

// Send implements Env.
func (h *hostEnv) Send(r *Request, u *balancer.Upstream, done func(balancer.Feedback)) (cancel func()) {
	r.Attempts++
	fake := h.fakes[u]
	call := u.Begin(h.world.clock.Now())
	cancel = h.world.sendJob(h, fake, fake.serviceTime(r.size), func(f balancer.Feedback) {
		balancer.Finish(h.picker, call, f)
		done(f)
	})
	h.probe()
	return cancel
}

// Finish implements Env.
func (h *hostEnv) Finish(r *Request, ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	if h.world.countsAt(r.Arrived.Sub(epoch)) {
		h.world.result.add(r, h.world.clock.Now(), ok)
	}
}

// probe sends a probe if the policy asks for one and the budget allows it.
func (h *hostEnv) probe() {
	p, ok := h.picker.(balancer.Prober)
	if !ok || !h.prober.take(h.world.clock.now) {
		return
	}
	u := p.Probe(h.world.clock.Now(), h.random.Uint64())
	if u == nil {
		return
	}
	h.world.result.Probes++
	h.world.sendJob(h, h.fakes[u], probeTime, func(f balancer.Feedback) {
		balancer.FinishProbe(h.picker, u, f)
	})
}

// prober is the entry host's equal share of the measuring budget.
type prober struct {
	every time.Duration // 0 is off
	next  time.Duration
}

// newProber divides the budget over the entry hosts.
func newProber(r Run) prober {
	if r.ProbePercent <= 0 {
		return prober{}
	}
	slots := float64(r.Workload.Upstreams * slotsPerUpstream)
	perSecond := r.ProbePercent / 100 * slots / probeTime.Seconds()
	perHost := perSecond / float64(r.Workload.EntryHosts)
	every := time.Duration(float64(time.Second) / perHost)
	return prober{every: every, next: every}
}

// take reports whether a probe may be sent now. Unused probes do not add up.
func (p *prober) take(now time.Duration) bool {
	if p.every == 0 || now < p.next {
		return false
	}
	p.next = now + p.every
	return true
}

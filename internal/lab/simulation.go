package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// world is the state of one run.
type world struct {
	run       Run
	clock     *Clock
	upstreams []*upstream
	hosts     []*hostEnv
	result    *Result
	// Each matter has its own random source, so that a policy's draws do not
	// change the arrivals or the service times that another policy meets.
	arrivals, faults *rand.Rand
	onsetAt          time.Duration
}

const (
	streamArrivals = iota + 1
	streamFaults
	streamUpstreams
	streamHosts = 1000
)

func newWorld(r Run) *world {
	w := &world{run: r, clock: &Clock{}, result: newResult(), onsetAt: -time.Hour}
	w.arrivals = rand.New(rand.NewPCG(r.Seed, streamArrivals))
	w.faults = rand.New(rand.NewPCG(r.Seed, streamFaults))
	for i := range r.Workload.Upstreams {
		w.upstreams = append(w.upstreams, w.newUpstream(i))
	}
	for i := range r.Workload.EntryHosts {
		w.hosts = append(w.hosts, newHostEnv(w, i))
	}
	return w
}

func (w *world) newUpstream(i int) *upstream {
	random := rand.New(rand.NewPCG(w.run.Seed, streamUpstreams+uint64(i)))
	u := &upstream{
		clock:       w.clock,
		random:      random,
		id:          fmt.Sprintf("u%02d", i),
		domain:      i % w.run.Workload.FailureDomains,
		slots:       slotsPerUpstream,
		shedLimit:   shedLimit,
		mean:        w.run.Workload.Mean,
		reportEvery: w.run.Fault.ReportEvery,
		silent:      i < w.run.Fault.Silent,
	}
	if w.run.Fault.ShedLimit > 0 {
		u.shedLimit = w.run.Fault.ShedLimit
	}
	if u.reportEvery == 0 {
		ratio := float64(maxReportEvery) / float64(minReportEvery)
		u.reportEvery = time.Duration(float64(minReportEvery) * math.Pow(ratio, random.Float64()))
	}
	u.reportPhase = time.Duration(random.Int64N(int64(u.reportEvery)))
	return u
}

func (w *world) drawUpstream() *upstream { return w.upstreams[w.faults.IntN(len(w.upstreams))] }

// arrive schedules the next arrival: a Poisson process over all entry hosts.
func (w *world) arrive() {
	rate := w.run.Workload.capacity() * w.run.Fault.Load
	if w.run.Fault.Surge > 0 && w.clock.now-w.onsetAt < surgeTime {
		rate *= w.run.Fault.Surge
	}
	wait := time.Duration(w.arrivals.ExpFloat64() / rate * float64(time.Second))
	w.clock.After(wait, func() {
		w.accept()
		w.arrive()
	})
}

func (w *world) accept() {
	h := w.drawHost()
	now := w.clock.Now()
	r := &Request{
		Arrived:  now,
		Deadline: now.Add(requestDeadline),
		size:     logNormal(w.arrivals, requestSigma),
	}
	if w.counts() {
		w.result.Offered++
	}
	h.host.Arrive(r)
}

// drawHost is the platform's choice of an entry host.
func (w *world) drawHost() *hostEnv {
	if w.run.Fault.Uneven > 0 && w.arrivals.Float64() < w.run.Fault.Uneven {
		return w.hosts[0]
	}
	return w.hosts[w.arrivals.IntN(len(w.hosts))]
}

// counts reports whether requests that arrive now are measured.
func (w *world) counts() bool { return w.countsAt(w.clock.now) }

func (w *world) countsAt(at time.Duration) bool {
	if at < warmUp {
		return false
	}
	since := (at - warmUp) % period
	return !w.run.Fault.Windowed || since < Window
}

// onsets starts the fault once per period.
func (w *world) onsets() {
	w.onsetAt = w.clock.now
	if w.run.Fault.onset != nil {
		w.run.Fault.onset(w)
	}
	w.clock.After(period, w.onsets)
}

// delay is the one-way time between an entry host and an upstream.
func (w *world) delay(h *hostEnv, u *upstream) time.Duration {
	if h.domain == u.domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// sendJob carries a job to u and its end back to h. The returned function
// cancels it after the same delay.
func (w *world) sendJob(h *hostEnv, u *upstream, service time.Duration, done func(balancer.Feedback)) (cancel func()) {
	sent := w.clock.now
	d := w.delay(h, u)
	j := &job{service: service}
	j.done = func(o balancer.Outcome) {
		report := u.report()
		w.clock.After(d, func() {
			report.Age += d
			done(balancer.Feedback{
				Now:     w.clock.Now(),
				Latency: w.clock.now - sent,
				Outcome: o,
				Report:  report,
			})
		})
	}
	w.clock.After(d, func() { u.submit(j) })
	return func() { w.clock.After(d, func() { u.cancel(j) }) }
}

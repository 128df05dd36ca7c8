package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// simulation is the state of one run.
type simulation struct {
	run       Run
	clock     *Clock
	upstreams []*upstream
	hosts     []*hostEnv
	result    *Result
	// Arrivals, faults, upstreams and hosts have separate random sources, so that
	// the random numbers a policy draws do not change the arrivals and service
	// times it is measured with.
	arrivalRand, faultRand *rand.Rand
	lastOnset              time.Duration
}

// Streams of the random sources. Upstream i and host i use the streams
// firstUpstreamStream+i and firstHostStream+i.
const (
	arrivalStream = iota + 1
	faultStream
	firstUpstreamStream
	firstHostStream = 1000
)

func newSimulation(r Run) *simulation {
	s := &simulation{run: r, clock: &Clock{}, result: newResult(), lastOnset: -time.Hour}
	s.arrivalRand = rand.New(rand.NewPCG(r.Seed, arrivalStream))
	s.faultRand = rand.New(rand.NewPCG(r.Seed, faultStream))
	for i := range r.Workload.Upstreams {
		s.upstreams = append(s.upstreams, s.newUpstream(i))
	}
	for i := range r.Workload.EntryHosts {
		s.hosts = append(s.hosts, newHostEnv(s, i))
	}
	return s
}

func (s *simulation) newUpstream(i int) *upstream {
	random := rand.New(rand.NewPCG(s.run.Seed, firstUpstreamStream+uint64(i)))
	u := &upstream{
		clock:           s.clock,
		random:          random,
		id:              fmt.Sprintf("u%02d", i),
		domain:          i % s.run.Workload.FailureDomains,
		slots:           slotsPerUpstream,
		maxInFlight:     defaultMaxInFlight,
		meanServiceTime: s.run.Workload.MeanServiceTime,
		reportInterval:  s.run.Fault.ReportInterval,
		reportsZero:     i < s.run.Fault.ZeroReporters,
	}
	if s.run.Fault.MaxInFlight > 0 {
		u.maxInFlight = s.run.Fault.MaxInFlight
	}
	if u.reportInterval == 0 {
		ratio := float64(maxReportInterval) / float64(minReportInterval)
		u.reportInterval = time.Duration(float64(minReportInterval) * math.Pow(ratio, random.Float64()))
	}
	u.reportPhase = time.Duration(random.Int64N(int64(u.reportInterval)))
	return u
}

func (s *simulation) randomUpstream() *upstream {
	return s.upstreams[s.faultRand.IntN(len(s.upstreams))]
}

// scheduleArrival schedules the next arrival of a Poisson process over all entry
// hosts.
func (s *simulation) scheduleArrival() {
	rate := s.run.Workload.capacity() * s.run.Fault.Load
	if s.run.Fault.SurgeFactor > 0 && s.clock.now-s.lastOnset < surgeDuration {
		rate *= s.run.Fault.SurgeFactor
	}
	wait := time.Duration(s.arrivalRand.ExpFloat64() / rate * float64(time.Second))
	s.clock.After(wait, func() {
		s.handleArrival()
		s.scheduleArrival()
	})
}

func (s *simulation) handleArrival() {
	h := s.randomHost()
	now := s.clock.Now()
	r := &Request{
		Arrived:    now,
		Deadline:   now.Add(requestDeadline),
		sizeFactor: logNormal(s.arrivalRand, requestSigma),
	}
	if s.isMeasured() {
		s.result.Offered++
	}
	h.host.Arrive(r)
}

// randomHost chooses an entry host as the platform's load balancing does.
func (s *simulation) randomHost() *hostEnv {
	if s.run.Fault.FirstHostShare > 0 && s.arrivalRand.Float64() < s.run.Fault.FirstHostShare {
		return s.hosts[0]
	}
	return s.hosts[s.arrivalRand.IntN(len(s.hosts))]
}

// isMeasured reports whether requests that arrive now are measured.
func (s *simulation) isMeasured() bool { return s.isMeasuredAt(s.clock.now) }

func (s *simulation) isMeasuredAt(at time.Duration) bool {
	if at < warmUpDuration {
		return false
	}
	since := (at - warmUpDuration) % onsetPeriod
	return !s.run.Fault.OnsetWindowOnly || since < OnsetWindow
}

// injectFaults starts the fault and schedules its next start.
func (s *simulation) injectFaults() {
	s.lastOnset = s.clock.now
	if s.run.Fault.inject != nil {
		s.run.Fault.inject(s)
	}
	s.clock.After(onsetPeriod, s.injectFaults)
}

// networkDelay returns the one-way delay between an entry host and an upstream.
func (s *simulation) networkDelay(h *hostEnv, u *upstream) time.Duration {
	if h.domain == u.domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// sendJob sends a job to u and its outcome back to h, each after the network
// delay. The returned function cancels the job, also after the network delay.
func (s *simulation) sendJob(h *hostEnv, u *upstream, service time.Duration, done func(balancer.Feedback)) (cancel func()) {
	sent := s.clock.now
	d := s.networkDelay(h, u)
	j := &job{serviceTime: service}
	j.done = func(o balancer.Outcome) {
		report := u.report()
		s.clock.After(d, func() {
			report.Age += d
			done(balancer.Feedback{
				Now:     s.clock.Now(),
				Latency: s.clock.now - sent,
				Outcome: o,
				Report:  report,
			})
		})
	}
	s.clock.After(d, func() { u.submit(j) })
	return func() { s.clock.After(d, func() { u.cancel(j) }) }
}

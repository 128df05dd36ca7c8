// Package lab is a discrete-event simulator for comparing balancer policies. It
// simulates upstreams with slots, random service times, faults and delayed load
// reports, and entry hosts that decide independently of each other. Apart from
// fixed message delays there is no network or process model, so results are only
// meaningful relative to each other. A run is determined by its seed.
package lab

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// warmUpDuration is the initial part of a run, which is not measured.
const warmUpDuration = 500 * time.Millisecond

// Run configures one simulation run.
type Run struct {
	// Workload is the simulated service.
	Workload Workload
	// Fault is the scenario.
	Fault Fault
	// Builder builds the balancer policy. If nil, the reference with one central
	// queue runs instead.
	Builder balancer.Builder
	// NewHost creates the Host of each entry host. The default is NewBasicHost.
	NewHost func(Env) Host
	// ProbePercent is the probe budget in percent of slot time; 0 disables probes.
	ProbePercent float64
	// Duration is the virtual time of the run after the warm-up.
	Duration time.Duration
	// Seed seeds all random sources of the run.
	Seed uint64
}

const (
	maxLatencyMicros   = 10_000_000
	significantFigures = 3
)

// Result holds the measurements of one or more runs.
type Result struct {
	// Latency is in microseconds. Requests that were not answered in time are
	// recorded with at least requestDeadline.
	Latency *hdr.Histogram
	// Offered counts the requests that arrived, Good those answered in time.
	Offered, Good int64
	// GivenUp counts the requests that were not answered in time.
	GivenUp int64
	// Attempts counts the attempts sent to upstreams.
	Attempts int64
	// Probes counts the probes of the whole run, including the warm-up.
	Probes int64
	// ProbeShare is the slot time used by probes in percent of all slot time.
	ProbeShare float64
	// Goodput is Good as a fraction of the capacity during the measured time.
	Goodput float64
}

func newResult() *Result {
	return &Result{Latency: hdr.New(1, maxLatencyMicros, significantFigures)}
}

func (r *Result) recordRequest(req *Request, now time.Time, ok bool) {
	latency := now.Sub(req.Arrived)
	r.Attempts += int64(req.Attempts)
	if ok {
		r.Good++
	} else {
		r.GivenUp++
		latency = max(latency, requestDeadline)
	}
	_ = r.Latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// Do performs the run.
func (r Run) Do() *Result {
	switch {
	case r.Builder == nil:
		r.NewHost = newCentralQueueHost
		r.Workload.EntryHosts = 1
	case r.NewHost == nil:
		r.NewHost = NewBasicHost
	}
	s := newSimulation(r)
	s.scheduleArrival()
	s.clock.After(warmUpDuration, s.injectFaults)
	s.clock.run(warmUpDuration + r.Duration)
	s.computeShares()
	return s.result
}

// computeShares computes the relative values of the result. Requests still in
// flight at the end of the run are not included.
func (s *simulation) computeShares() {
	r := s.result
	measured := s.run.Duration.Seconds()
	if s.run.Fault.OnsetWindowOnly {
		measured *= OnsetWindow.Seconds() / onsetPeriod.Seconds()
	}
	r.Goodput = float64(r.Good) / (s.run.Workload.capacity() * measured)
	slotTime := float64(s.run.Workload.Upstreams*slotsPerUpstream) * s.clock.now.Seconds()
	r.ProbeShare = 100 * float64(r.Probes) * probeServiceTime.Seconds() / slotTime
}

// Package lab drives balancer policies in virtual time: fake upstreams with
// slots, service times, faults and reports that lag, and entry hosts that
// decide on their own. It has no network or process model and only serves to
// compare decisions. A run is determined by its seed.
package lab

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// warmUp is the time before requests count.
const warmUp = 500 * time.Millisecond

// Run describes one run.
type Run struct {
	// Workload is the service.
	Workload Workload
	// Fault is the condition.
	Fault Fault
	// Builder makes the policy; nil runs the reference with one central queue.
	Builder balancer.Builder
	// NewHost makes the decision maker of an entry host. Default: NewBasicHost.
	NewHost func(Env) Host
	// ProbePercent is the measuring budget in percent of slot time; 0 sends no probe.
	ProbePercent float64
	// Duration is the virtual time of the run after the warm-up.
	Duration time.Duration
	// Seed determines the run.
	Seed uint64
}

const (
	maxLatencyMicros   = 10_000_000
	significantFigures = 3
)

// Result is what one run measured.
type Result struct {
	// Latency is in microseconds. A request that was given up counts with its deadline.
	Latency *hdr.Histogram
	// Offered counts the requests that arrived, Good those answered in time.
	Offered, Good int64
	// GivenUp counts the requests that were not answered in time.
	GivenUp int64
	// Attempts counts the sends.
	Attempts int64
	// Probes counts the probes of the whole run, the warm-up included.
	Probes int64
	// ProbeShare is the slot time of the probes in percent of all slot time.
	ProbeShare float64
	// Goodput is Good as a share of capacity in the time that counts.
	Goodput float64
}

func newResult() *Result {
	return &Result{Latency: hdr.New(1, maxLatencyMicros, significantFigures)}
}

func (r *Result) add(q *Request, now time.Time, ok bool) {
	latency := now.Sub(q.Arrived)
	r.Attempts += int64(q.Attempts)
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
		r.NewHost = newCentralHost
		r.Workload.EntryHosts = 1
	case r.NewHost == nil:
		r.NewHost = NewBasicHost
	}
	w := newWorld(r)
	w.arrive()
	w.clock.After(warmUp, w.onsets)
	w.clock.run(warmUp + r.Duration)
	w.finishRun()
	return w.result
}

// finishRun works out the shares. Requests still in flight at the end are not counted.
func (w *world) finishRun() {
	r := w.result
	measured := w.run.Duration.Seconds()
	if w.run.Fault.Windowed {
		measured *= Window.Seconds() / period.Seconds()
	}
	r.Goodput = float64(r.Good) / (w.run.Workload.capacity() * measured)
	slotTime := float64(w.run.Workload.Upstreams*slotsPerUpstream) * w.clock.now.Seconds()
	r.ProbeShare = 100 * float64(r.Probes) * probeTime.Seconds() / slotTime
}

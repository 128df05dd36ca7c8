package balancer

import "time"

// Outcome is the result of an attempt as policies distinguish it.
type Outcome uint8

const (
	// Answered means that a complete response arrived.
	Answered Outcome = iota
	// Refused means that the upstream stated that it did not execute the request.
	Refused
	// Failed means an error of the upstream or of the connection to it.
	Failed
	// Cancelled means that the entry host abandoned the attempt, which says nothing
	// about the upstream.
	Cancelled
)

// Report is the load that an upstream reported in a response to a request or a probe.
type Report struct {
	// Valid is false if the response carried no report.
	Valid bool
	// InFlight is the number of requests at the upstream, over all entry hosts.
	InFlight int
	// Age is the time between the sampling of InFlight and the arrival of the response.
	Age time.Duration
	// Slots is the number of requests that the upstream serves concurrently; 0 if
	// the report does not include it.
	Slots int
	// Slowdown is the current processing time relative to the usual one; 0 if the
	// report does not include it.
	Slowdown float64
}

// Feedback describes the end of one attempt or one probe.
type Feedback struct {
	// Now is the end time, from the caller's clock.
	Now time.Time
	// Latency is the time since the start of the attempt.
	Latency time.Duration
	// Outcome is the result.
	Outcome Outcome
	// Report is the load report in the response.
	Report Report
	// ProbeSentAt marks when a probe was sent; zero for the response to a request.
	ProbeSentAt SendMark
	// Target is the target latency, within which a response has its full value; 0 if
	// unknown.
	Target time.Duration
	// Sent is the upstream's load as known at the start of the attempt, including
	// that request; nil if none was known. Finish sets it.
	Sent *Load
}

// IsProbeResponse reports whether f is a probe response with a load report.
func (f *Feedback) IsProbeResponse() bool { return f.ProbeSentAt.set && f.Report.Valid }

// IsFailedProbe reports whether f is the failure of a probe.
func (f *Feedback) IsFailedProbe() bool { return f.ProbeSentAt.set && f.Outcome == Failed }

// Call is one attempt in flight. It is owned by the goroutine that sent it.
type Call struct {
	// Upstream is the upstream that it was sent to.
	Upstream *Upstream
	// Started is the start time.
	Started time.Time

	startIndex int
	load       *Load
}

// Finish records the end of a call and passes the feedback to the picker. It must be
// called exactly once for each Begin, with the current picker, which may be newer than
// the one that made the choice.
func Finish(p Picker, c Call, f Feedback) {
	f.Sent = c.load
	c.Upstream.end(c, f)
	if o, ok := p.(Observer); ok {
		o.Observe(c.Upstream, f)
	}
}

// FinishProbe records the result of a probe. Its latency is not added to the
// request latencies.
func FinishProbe(p Picker, u *Upstream, f Feedback) {
	u.recordReport(f)
	u.recordLoad(f)
	if f.Outcome == Failed {
		u.failedAt.Store(f.Now.UnixNano())
		u.failureRate.blendOver(f.Now, failureUnit, FailureRateDecay)
	}
	if o, ok := p.(Observer); ok {
		o.Observe(u, f)
	}
}

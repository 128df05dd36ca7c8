package balancer

import "time"

// Outcome says how a send ended, as far as a policy cares.
type Outcome uint8

const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Refused is an upstream that declared it did not run the request.
	Refused
	// Failed is an error of the upstream or of the connection to it.
	Failed
	// Cancelled is a send that the entry host gave up; it says nothing on the upstream.
	Cancelled
)

// Report is the load that an upstream stated in an answer or a probe.
type Report struct {
	// Valid is false when the answer carried no report.
	Valid bool
	// InFlight is the number of requests at the upstream, over all entry hosts.
	InFlight int
	// Age is the time between the sampling of InFlight and the answer's arrival.
	Age time.Duration
	// Slots is the number of requests that it serves at the same time; 0 if the
	// report does not say.
	Slots int
	// Slowdown is how long work takes there at this moment, relative to usual;
	// 0 if the report does not say.
	Slowdown float64
}

// Feedback is the end of one send or one probe.
type Feedback struct {
	// Now is the time of the end, from the caller's clock.
	Now time.Time
	// Latency is the time since the send.
	Latency time.Duration
	// Outcome says how it ended.
	Outcome Outcome
	// Report is the load report that came with the answer.
	Report Report
	// ProbeSentAt is when a probe was sent; zero for the answer to a request.
	ProbeSentAt SendMark
	// Target is the time within which an answer has its full worth; 0 if unknown.
	Target time.Duration
	// Sent is what was known of the upstream's load at the send, that request
	// included; nil if nothing fresh was. Finish sets it.
	Sent *Load
}

// IsAnswerToProbe reports whether f is an upstream's answer to a probe, with its load.
func (f *Feedback) IsAnswerToProbe() bool { return f.ProbeSentAt.set && f.Report.Valid }

// Call is one request in flight. It belongs to the goroutine that sent it.
type Call struct {
	// Upstream is where it was sent.
	Upstream *Upstream
	// Started is the time of the send.
	Started time.Time

	cell int
	load *Load
}

// Finish records the end of a call and passes the feedback to the picker.
// Traffic goroutines call it exactly once for each Begin; the picker is the
// one in force now, which may be newer than the one that chose.
func Finish(p Picker, c Call, f Feedback) {
	f.Sent = c.load
	c.Upstream.end(c, f)
	if o, ok := p.(Observer); ok {
		o.Observe(c.Upstream, f)
	}
}

// FinishProbe records the answer of a probe. Its latency does not count as a
// request's.
func FinishProbe(p Picker, u *Upstream, f Feedback) {
	u.learnReport(f)
	u.learnLoad(f)
	if f.Outcome == Failed {
		u.failedAt.Store(f.Now.UnixNano())
		u.trouble.blendOver(f.Now, troubleUnit, FailureRateDecay)
	}
	if o, ok := p.(Observer); ok {
		o.Observe(u, f)
	}
}

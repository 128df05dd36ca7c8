// Package limit bounds the requests that one entry host has in flight at a
// group of upstreams, and says when a refused caller should come back.
//
// A Limiter adapts its bound to what upstreams show: it grows slowly while the
// bound is used and latency stays near its baseline, and shrinks when latency
// rises or upstreams refuse. Excess and RetryAfter turn the share of requests
// refused into spread-out times to come back. Nothing here reads a clock,
// starts a goroutine or draws randomness. All types are safe for concurrent use.
package limit

import (
	"math"
	"sync"
	"time"
)

// Constants of the adaptive limit. docs/design/06-overload.md names the run
// that chose each.
const (
	// WindowSamples is the number of answers from which one decision is made;
	// a larger limit takes as many answers as the limit.
	WindowSamples = 32
	// Tolerance is the ratio of mean latency to baseline above which the limit shrinks.
	Tolerance = 1.5
	// PressureTolerance is the mean of requests in flight per slot, as upstreams
	// report it, above which the limit shrinks.
	PressureTolerance = 2.0
	// GuardTolerance takes the place of Tolerance where upstreams report.
	GuardTolerance = 4.0
	// Backoff is the factor by which the limit shrinks.
	Backoff = 0.9
	// Growth is what one window adds to the limit, in requests in flight.
	Growth = 1.0
	// StartFactor multiplies the limit in each window in which it is used, until
	// it first shrinks, so that a new entry host finds its share soon.
	StartFactor = 2.0
	// RelearnEvery is the number of windows after which the baseline is
	// measured anew, so that a lasting change of service time is accepted.
	RelearnEvery = 64
	// RelearnShare is the divisor of the limit while the baseline is measured.
	RelearnShare = 2
	// usedShare is the share of the limit that must have been in flight for it to grow.
	usedShare = 0.9
)

// Outcome is how a send ended, for the limit.
type Outcome uint8

// The outcomes of a send.
const (
	// Answered means that the latency speaks for the upstream's load.
	Answered Outcome = iota
	// Refused means that the upstream shed the request or did not answer in time.
	Refused
	// Ignored means that the end says nothing about load, such as a cancelled hedge.
	Ignored
)

// Sample is how one send went.
type Sample struct {
	// Outcome says whether the rest counts.
	Outcome Outcome
	// Latency is the time of the send, for Answered.
	Latency time.Duration
	// Pressure is the upstream's report of requests in flight per slot, for
	// Answered: 1 is full without a queue. 0 means that it sent no report.
	Pressure float64
}

// Reason says what moved the limit. It is a constant text for events.
type Reason string

// The reasons for a change.
const (
	// Unchanged means that the limit did not move.
	Unchanged Reason = ""
	// Increased means that the limit was in use and latency near its baseline.
	Increased Reason = "used-and-fast"
	// DecreasedLatency means that latency rose above the baseline.
	DecreasedLatency Reason = "latency-rose"
	// DecreasedPressure means that upstreams reported queues.
	DecreasedPressure Reason = "upstreams-report-queues"
	// DecreasedRefused means that upstreams refused.
	DecreasedRefused Reason = "upstreams-refused"
	// Relearning means that the limit is lowered for two windows to measure the baseline.
	Relearning Reason = "measuring-baseline"
	// Relearned means that the limit is back after measuring the baseline.
	Relearned Reason = "baseline-measured"
)

// Bounds are the smallest and the largest limit, in requests in flight.
type Bounds struct {
	// Floor is never undercut, so that an upstream that recovered is noticed.
	Floor int
	// Ceiling is never exceeded.
	Ceiling int
	// Reported replaces Ceiling while most answers carry a load report; 0 keeps
	// Ceiling.
	Reported int
}

// Limiter is an adaptive bound on requests in flight. A nil *Limiter admits
// everything.
type Limiter struct {
	mu       sync.Mutex
	bounds   Bounds
	limit    float64
	inFlight int
	baseline time.Duration
	window   window
	started  bool    // the limit has shrunk once
	reported bool    // most answers of the last window carried a load report
	phase    int     // windows since the baseline began to be measured; 0 when it is not
	windows  int     // since the baseline was measured anew
	saved    float64 // the limit before it was lowered to do so; 0 when it is not
}

// window gathers answers until one decision is made.
type window struct {
	samples int
	refused int
	sum     time.Duration
	used    int
	// reports and pressure count and sum the upstreams' reports.
	reports  int
	pressure float64
}

func (w *window) add(s Sample) {
	w.samples++
	w.sum += s.Latency
	if s.Pressure > 0 {
		w.reports++
		w.pressure += s.Pressure
	}
}

// reported says whether most answers carried a report.
func (w *window) reported() bool { return w.reports*2 > w.samples }

func (w *window) meanPressure() float64 { return w.pressure / float64(w.reports) }

// loaded says whether upstreams report that their slots are in use.
func (w *window) loaded() bool { return w.reported() && w.meanPressure() >= 1 }

// New returns a limiter that starts at the given limit within b.
func New(initial int, b Bounds) *Limiter {
	l := &Limiter{limit: float64(initial)}
	l.SetBounds(b)
	return l
}

// SetBounds changes the bounds, for example when upstreams come or go.
func (l *Limiter) SetBounds(b Bounds) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
	l.clamp()
}

// Headroom is the share of the limit that an important send may go beyond it.
const Headroom = 0.5

// Acquire takes a place for one send, or reports false. Headroom is the share
// of the limit by which this send may exceed it, at least 1 place if positive.
// Each success must be followed by one Release.
func (l *Limiter) Acquire(headroom float64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= int(l.limit)+int(math.Ceil(l.limit*headroom)) {
		return false
	}
	l.inFlight++
	l.window.used = max(l.window.used, l.inFlight)
	return true
}

// Release gives the place back and reports how the send went. It returns what
// moved the limit, if anything.
func (l *Limiter) Release(s Sample) Reason {
	if l == nil {
		return Unchanged
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	switch s.Outcome {
	case Answered:
		l.window.add(s)
	case Refused:
		l.window.refused++
	case Ignored:
		return Unchanged
	}
	if l.window.samples+l.window.refused < max(WindowSamples, int(l.limit)) {
		return Unchanged
	}
	return l.decide()
}

// Limit returns the current bound and the requests in flight.
func (l *Limiter) Limit() (limit, inFlight int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit), l.inFlight
}

// decide closes the window and moves the limit.
func (l *Limiter) decide() Reason {
	w := l.window
	l.window = window{used: l.inFlight}
	before := int(l.limit)
	reason := l.move(w)
	l.reported = w.reported()
	l.clamp()
	if int(l.limit) == before {
		return Unchanged
	}
	return reason
}

func (l *Limiter) move(w window) Reason {
	l.windows++
	if w.refused*refusedShare > w.samples {
		l.stopRelearning()
		l.shrink()
		return DecreasedRefused
	}
	mean := w.sum / time.Duration(w.samples)
	if l.phase > 0 || l.windows > RelearnEvery && !w.loaded() {
		return l.relearn(w, mean)
	}
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	if reason := l.pressed(w, mean); reason != Unchanged {
		l.shrink()
		return reason
	}
	if !l.inUse(w) {
		return Unchanged
	}
	if l.started {
		l.limit += Growth
	} else {
		l.limit *= StartFactor
	}
	return Increased
}

// shrink lowers the limit by one step.
func (l *Limiter) shrink() {
	l.started = true
	l.limit *= Backoff
}

// inUse says whether the window's requests needed the limit.
func (l *Limiter) inUse(w window) bool {
	return float64(w.used) >= usedShare*float64(int(l.limit))
}

// pressed says whether the window shows queues at the upstreams. Their reports
// decide where most answers carry one; latency then only guards against
// reports that mislead.
func (l *Limiter) pressed(w window, mean time.Duration) Reason {
	tolerance := Tolerance
	if w.reported() {
		if w.meanPressure() > PressureTolerance {
			return DecreasedPressure
		}
		tolerance = GuardTolerance
	}
	if float64(mean) > tolerance*float64(l.baseline) {
		return DecreasedLatency
	}
	return Unchanged
}

// refusedShare is the divisor of the answered sends above which refusals
// shrink the limit: more than one in sixteen.
const refusedShare = 16

// relearn lowers the limit, lets one window pass in which queues drain, takes
// the next one's latency as the baseline and restores the limit. Without it, a
// baseline that may only fall never accepts a service that became slower, and
// one that drifts up takes the queue that the limit itself allows for normal.
// It waits while upstreams report load: the limit of one entry host alone
// can't drain the queues of all, and reports do without the baseline.
// A limit that is not in use makes no queues and need not be lowered.
func (l *Limiter) relearn(w window, mean time.Duration) Reason {
	if l.phase == 0 && !l.inUse(w) {
		l.baseline = mean
		l.windows = 0
		return Unchanged
	}
	l.phase++
	switch l.phase {
	case 1:
		l.saved = l.limit
		l.limit /= RelearnShare
		return Relearning
	case 2:
		return Unchanged
	default:
		l.baseline = mean
		l.stopRelearning()
		return Relearned
	}
}

func (l *Limiter) stopRelearning() {
	if l.saved > 0 {
		l.limit = l.saved
		l.saved = 0
	}
	if l.phase > 0 {
		l.phase = 0
		l.windows = 0
	}
}

func (l *Limiter) clamp() {
	ceiling := l.bounds.Ceiling
	if l.reported && l.bounds.Reported > 0 {
		ceiling = l.bounds.Reported
	}
	l.limit = min(max(l.limit, float64(l.bounds.Floor)), float64(ceiling))
}

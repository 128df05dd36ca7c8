// Package limit bounds the requests that one entry host has in flight at a
// group of upstreams, and determines when a refused caller should retry.
//
// A Limiter adapts its limit to the load of the upstreams: the limit grows
// slowly while it is used and latency stays near its baseline, and shrinks when
// latency rises or upstreams refuse requests. Excess and RetryAfter compute retry
// delays with jitter from the share of requests that are refused. The package
// reads no clock, starts no goroutine and draws no random numbers. All types are
// safe for concurrent use.
package limit

import (
	"math"
	"sync"
	"time"
)

// Constants of the adaptive limit. docs/design/06-overload.md names the run
// that chose each.
const (
	// WindowSamples is the number of responses from which one decision is made;
	// if the limit is larger, a decision takes as many responses as the limit.
	WindowSamples = 32
	// Tolerance is the ratio of mean latency to baseline above which the limit shrinks.
	Tolerance = 1.5
	// PressureTolerance is the mean number of requests in flight per slot, as
	// reported by upstreams, above which the limit shrinks.
	PressureTolerance = 2.0
	// GuardTolerance replaces Tolerance if upstreams send load reports.
	GuardTolerance = 4.0
	// Backoff is the factor by which the limit shrinks.
	Backoff = 0.9
	// Growth is the increase of the limit in one window, in requests in flight.
	Growth = 1.0
	// StartFactor multiplies the limit in each window in which it is used, until
	// it shrinks for the first time, so that a new entry host reaches its share soon.
	StartFactor = 2.0
	// RelearnEvery is the number of windows after which the baseline is measured
	// anew, so that it adapts to a lasting change of the service time.
	RelearnEvery = 64
	// RelearnShare divides the limit while the baseline is measured.
	RelearnShare = 2
	// usedShare is the share of the limit that must have been in flight for the
	// limit to grow.
	usedShare = 0.9
)

// Outcome is the result of an attempt as far as it concerns the limit.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the latency reflects the load of the upstream.
	Answered Outcome = iota
	// Refused means that the upstream shed the request or did not respond in time.
	Refused
	// Ignored means that the result tells nothing about load, as for a cancelled hedge.
	Ignored
)

// Sample is the result of one attempt.
type Sample struct {
	// Outcome determines whether the other fields count.
	Outcome Outcome
	// Latency is the duration of the attempt, for Answered.
	Latency time.Duration
	// Pressure is the number of requests in flight per slot that the upstream
	// reports, for Answered: at 1, all slots are in use and nothing is queued.
	// 0 means that it sent no report.
	Pressure float64
}

// Reason is why the limit changed. It is a constant text for events.
type Reason string

// The reasons for a change.
const (
	// Unchanged means that the limit did not change.
	Unchanged Reason = ""
	// Increased means that the limit was in use and latency was near its baseline.
	Increased Reason = "used-and-fast"
	// DecreasedLatency means that latency rose above the baseline.
	DecreasedLatency Reason = "latency-rose"
	// DecreasedPressure means that upstreams reported queues.
	DecreasedPressure Reason = "upstreams-report-queues"
	// DecreasedRefused means that upstreams refused requests.
	DecreasedRefused Reason = "upstreams-refused"
	// Relearning means that the limit is lowered for two windows to measure the baseline.
	Relearning Reason = "measuring-baseline"
	// Relearned means that the limit is restored after the baseline was measured.
	Relearned Reason = "baseline-measured"
)

// Bounds are the smallest and the largest limit, in requests in flight.
type Bounds struct {
	// Floor is the smallest limit. It keeps some requests flowing, so that the
	// recovery of an upstream is noticed.
	Floor int
	// Ceiling is the largest limit.
	Ceiling int
	// ReportedCeiling replaces Ceiling while most responses carry a load report;
	// with 0, Ceiling always applies.
	ReportedCeiling int
}

// Limiter is an adaptive limit on requests in flight. A nil *Limiter admits all
// requests.
type Limiter struct {
	mu        sync.Mutex
	bounds    Bounds
	limit     float64
	inFlight  int
	baseline  time.Duration
	window    window
	hasShrunk bool    // the limit has shrunk at least once
	reported  bool    // most responses of the last window carried a load report
	phase     int     // windows since the measurement of the baseline began; 0 if none is in progress
	windows   int     // windows since the baseline was last measured anew
	saved     float64 // limit to restore after the measurement; 0 if the limit is not lowered
}

// window collects responses until a decision is made.
type window struct {
	samples int
	refused int
	sum     time.Duration
	peak    int // largest number of requests in flight
	// reports and pressure are the number and the sum of the upstreams' load reports.
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

// reported reports whether most responses carried a load report.
func (w *window) reported() bool { return w.reports*2 > w.samples }

func (w *window) meanPressure() float64 { return w.pressure / float64(w.reports) }

// loaded reports whether the upstreams' load reports show that all slots are in use.
func (w *window) loaded() bool { return w.reported() && w.meanPressure() >= 1 }

// New returns a limiter with the given initial limit, adjusted to b.
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

// Headroom is the share of the limit by which an important attempt may exceed it.
const Headroom = 0.5

// Acquire takes a permit for one attempt and reports whether there was one.
// Headroom is the share of the limit by which this attempt may exceed it; if it
// is positive, it allows at least one more permit. Each success must be followed
// by one call of Release.
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
	l.window.peak = max(l.window.peak, l.inFlight)
	return true
}

// Release returns a permit and records the result of the attempt. It returns why
// the limit changed, or Unchanged.
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

// Limit returns the current limit and the number of requests in flight.
func (l *Limiter) Limit() (limit, inFlight int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit), l.inFlight
}

// decide ends the window and adjusts the limit.
func (l *Limiter) decide() Reason {
	w := l.window
	l.window = window{peak: l.inFlight}
	before := int(l.limit)
	reason := l.adjust(w)
	l.reported = w.reported()
	l.clamp()
	if int(l.limit) == before {
		return Unchanged
	}
	return reason
}

func (l *Limiter) adjust(w window) Reason {
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
	if reason := l.congestion(w, mean); reason != Unchanged {
		l.shrink()
		return reason
	}
	if !l.inUse(w) {
		return Unchanged
	}
	if l.hasShrunk {
		l.limit += Growth
	} else {
		l.limit *= StartFactor
	}
	return Increased
}

// shrink lowers the limit by one step.
func (l *Limiter) shrink() {
	l.hasShrunk = true
	l.limit *= Backoff
}

// inUse reports whether the requests of the window used the limit.
func (l *Limiter) inUse(w window) bool {
	return float64(w.peak) >= usedShare*float64(int(l.limit))
}

// congestion returns why the limit should shrink if the window shows queues at
// the upstreams, or else Unchanged. If most responses carry a load report, the
// reports decide, and latency only guards against misleading reports.
func (l *Limiter) congestion(w window, mean time.Duration) Reason {
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

// refusedShare is the number of answered attempts per refusal below which the
// limit shrinks: it does if there is more than one refusal for sixteen answers.
const refusedShare = 16

// relearn measures the baseline anew: it lowers the limit, waits one window for
// queues to drain, takes the mean latency of the next window as the baseline and
// restores the limit. Without this, a baseline that can only fall would never
// adapt to a service that became slower, and a baseline that drifts up would
// include the queue that the limit itself allows. The measurement does not begin
// while upstreams report that they are loaded: one entry host alone cannot drain
// the queues of all by lowering its limit, and load reports do not need the
// baseline. A limit that is not in use causes no queues and need not be lowered.
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
	if l.reported && l.bounds.ReportedCeiling > 0 {
		ceiling = l.bounds.ReportedCeiling
	}
	l.limit = min(max(l.limit, float64(l.bounds.Floor)), float64(ceiling))
}

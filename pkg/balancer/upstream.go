package balancer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/backoff"
	"github.com/dapplespindle/dapplespindle/pkg/coldstart"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

const (
	// LatencyDecay is the time after which a latency sample has lost 63% of its weight.
	LatencyDecay = 100 * time.Millisecond
	// FailureRateDecay is the time after which a failed attempt has lost 63% of its
	// weight. It is some seconds because an entry host sends to the same upstream
	// again within that time.
	FailureRateDecay = 4 * time.Second
	// failureUnit represents a failure rate of 1 in the moving average.
	failureUnit = time.Second
	// maxTracked is the number of calls in flight whose start time is tracked, per upstream.
	maxTracked = 8
	// untracked marks a call whose start time is not tracked.
	untracked = -1

	reportTimeBits = 52
	maxReported    = 1<<(64-reportTimeBits) - 1
)

// Upstream is the state that one entry host keeps of one upstream. The identity
// fields are immutable; the goroutines that serve requests update the rest atomically.
type Upstream struct {
	// ID identifies the upstream.
	ID string
	// Activation counts the known starts of a process under this ID. The state is that
	// of one such start.
	Activation uint64
	// Address is "IP:port".
	Address string
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string
	// Slots is the number of requests that it serves concurrently.
	Slots int
	// MaxConnections limits the connections over all entry hosts; 0 means no limit.
	MaxConnections int
	// Cold is its warm-up state and the request rate that it tolerates until it is warm.
	Cold coldstart.Upstream
	// Backoff is the backoff period that it requested from this host.
	Backoff backoff.State
	// Limit is the rate limit that it has announced for all hosts together, with this host's
	// time slots; nil means none.
	Limit *ratelimit.State
	// Added is the time when it joined the group; zero if it was a member from the start.
	Added time.Time

	outstanding atomic.Int64
	begun       atomic.Int64             // attempts started in total
	started     [maxTracked]atomic.Int64 // Unix time in ns, 0 if free
	latency     ewma
	peak        ewma
	report      atomic.Uint64 // requests in flight of other hosts, and Unix time in µs
	failures    atomic.Int64
	failedAt    atomic.Int64 // Unix time in ns
	refusedAt   atomic.Int64 // Unix time in ns, 0 if never
	load        atomic.Pointer[Load]
	failureRate ewma // share of recent attempts that failed, in units of failureUnit
}

// Load is the newest complete load report of an upstream.
type Load struct {
	// InFlight is the number of requests there, including queued ones.
	InFlight int
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	// Slowdown is the processing time there relative to the usual one.
	Slowdown float64
	// At is the time when the load was sampled.
	At time.Time
	// begun and ended count this entry host's attempts that the report may include.
	begun, ended int64
}

// SendMark is a position in the sequence of attempts from one entry host to one upstream.
type SendMark struct {
	begun int64
	set   bool
}

// Mark returns the current position. A report that is queried now may not include
// attempts that start later.
func (u *Upstream) Mark() SendMark { return SendMark{u.begun.Load(), true} }

// Load returns the newest complete load report, or nil. InFlight is adjusted by the
// attempts that this entry host has started since it sent the query and by those
// that have ended since the response arrived: a request that the report may or may
// not include is counted.
func (u *Upstream) Load() *Load {
	l := u.load.Load()
	if l == nil {
		return nil
	}
	now := *l
	begun := u.begun.Load()
	ended := begun - u.outstanding.Load()
	now.InFlight = max(now.InFlight+int(begun-l.begun)-int(ended-l.ended), 0)
	return &now
}

// recordLoad stores a complete report. Of two that arrive at the same time, one may
// be lost.
func (u *Upstream) recordLoad(f Feedback) {
	if !f.Report.Valid || f.Report.Slots == 0 {
		return
	}
	begun := u.begun.Load()
	ended := begun - u.outstanding.Load()
	if f.ProbeSentAt.set {
		begun = f.ProbeSentAt.begun
	}
	u.load.Store(&Load{
		InFlight: f.Report.InFlight,
		Slots:    f.Report.Slots,
		Slowdown: max(f.Report.Slowdown, 0),
		At:       f.Now.Add(-f.Report.Age),
		begun:    begun,
		ended:    ended,
	})
}

// SendDelay returns how long this host must not send to u, because u is backing off or
// because this host's next time slot has not begun. It is 0 if a request may be sent now.
func (u *Upstream) SendDelay(now time.Time) time.Duration {
	return max(u.Backoff.Delay(now), u.Limit.Delay(now))
}

// HasTimeSlot reports whether u has announced a rate limit and this host may send it a request now.
func (u *Upstream) HasTimeSlot(now time.Time) bool { return u.Limit.Limited() && u.Limit.Open(now) }

// Outstanding returns the number of requests that this entry host has in flight to u.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Start records a request sent to u without its start time. Prefer Begin.
func (u *Upstream) Start() {
	u.begun.Add(1)
	u.outstanding.Add(1)
}

// Done records the end of a request that was recorded with Start.
func (u *Upstream) Done() { u.outstanding.Add(-1) }

// Begin records a request sent to u. Finish must be called exactly once with the result.
func (u *Upstream) Begin(now time.Time) Call {
	u.begun.Add(1)
	u.outstanding.Add(1)
	load := u.Load()
	c := Call{Upstream: u, Started: now, startIndex: untracked, load: load}
	for i := range u.started {
		if u.started[i].CompareAndSwap(0, now.UnixNano()) {
			c.startIndex = i
			break
		}
	}
	return c
}

func (u *Upstream) end(c Call, f Feedback) {
	u.recordReport(f)
	u.outstanding.Add(-1)
	u.recordLoad(f)
	if c.startIndex != untracked {
		u.started[c.startIndex].Store(0)
	}
	switch f.Outcome {
	case Answered:
		u.failures.Store(0)
		u.failureRate.blendOver(f.Now, 0, FailureRateDecay)
		u.latency.add(f.Now, f.Latency)
		u.peak.addPeak(f.Now, f.Latency)
	case Failed:
		u.failedAt.Store(f.Now.UnixNano())
		u.failures.Add(1)
		u.failureRate.blendOver(f.Now, failureUnit, FailureRateDecay)
	case Refused:
		u.refusedAt.Store(f.Now.UnixNano())
	case Cancelled:
	}
}

// recordReport stores the number of requests of other entry hosts: the reported
// number less this host's own requests in flight. An older sample does not replace
// a newer one.
func (u *Upstream) recordReport(f Feedback) {
	if !f.Report.Valid {
		return
	}
	others := min(max(int64(f.Report.InFlight)-u.Outstanding(), 0), maxReported)
	sampled := uint64(f.Now.Add(-f.Report.Age).UnixMicro())
	next := uint64(others)<<reportTimeBits | sampled&(1<<reportTimeBits-1)
	for {
		old := u.report.Load()
		if old&(1<<reportTimeBits-1) > sampled || u.report.CompareAndSwap(old, next) {
			return
		}
	}
}

// RemoteInFlight returns the number of requests that other entry hosts had in flight
// according to the newest report, and the age of that report. ok is false if there
// was no report.
func (u *Upstream) RemoteInFlight(now time.Time) (count int64, age time.Duration, ok bool) {
	r := u.report.Load()
	if r == 0 {
		return 0, 0, false
	}
	sampled := int64(r & (1<<reportTimeBits - 1))
	age = time.Duration(now.UnixMicro()-sampled) * time.Microsecond
	return int64(r >> reportTimeBits), max(age, 0), true
}

// FailureRate returns the share of this host's recent attempts at u that failed, from
// 0 to 1. It decays over time when nothing is sent.
func (u *Upstream) FailureRate(now time.Time) float64 {
	share, age := u.failureRate.value(now)
	return float64(share) / float64(failureUnit) * math.Exp(-float64(age)/float64(FailureRateDecay))
}

// OldestAge returns how long the oldest request in flight has been waiting for its
// response. At most eight requests are tracked.
func (u *Upstream) OldestAge(now time.Time) time.Duration {
	oldest := int64(math.MaxInt64)
	for i := range u.started {
		if at := u.started[i].Load(); at != 0 {
			oldest = min(oldest, at)
		}
	}
	if oldest == math.MaxInt64 {
		return 0
	}
	return max(time.Duration(now.UnixNano()-oldest), 0)
}

// Latency returns the moving average of the response latency and the time since the
// last response; both are zero if there was none.
func (u *Upstream) Latency(now time.Time) (mean, age time.Duration) {
	return u.latency.value(now)
}

// PeakLatency returns a moving average that follows a rise immediately and decays
// slowly; zero if there was no response.
func (u *Upstream) PeakLatency(now time.Time) time.Duration {
	v, age := u.peak.value(now)
	return time.Duration(float64(v) * math.Exp(-float64(age)/float64(LatencyDecay)))
}

// Failures returns the number of failures since the last response and the time since
// the last failure.
func (u *Upstream) Failures(now time.Time) (count int64, age time.Duration) {
	return u.failures.Load(), time.Duration(now.UnixNano() - u.failedAt.Load())
}

// SinceRefusal returns the time since the upstream last refused a request; ok is
// false if it never did.
func (u *Upstream) SinceRefusal(now time.Time) (age time.Duration, ok bool) {
	at := u.refusedAt.Load()
	return time.Duration(now.UnixNano() - at), at != 0
}

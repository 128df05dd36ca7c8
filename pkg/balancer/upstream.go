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
	// FailureRateDecay is the time after which a failed send has lost 63% of its
	// weight: some seconds, in which an entry host sends to an upstream again.
	FailureRateDecay = 4 * time.Second
	// troubleUnit is a share of 1 in the moving average.
	troubleUnit = time.Second
	// maxTracked is the number of sends whose start is known, per upstream.
	maxTracked = 8
	// untracked marks a call whose start has no cell.
	untracked = -1

	reportTimeBits = 52
	maxReported    = 1<<(64-reportTimeBits) - 1
)

// Upstream is one server as seen by one entry host. Identity fields are
// immutable; the rest is updated by traffic goroutines through atomics.
type Upstream struct {
	// ID identifies the upstream.
	ID string
	// Activation counts the starts under this id that are known; a record is of one.
	Activation uint64
	// Address is "IP:port".
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests it serves at the same time.
	Slots int
	// MaxConnections bounds the connections over all entry hosts; 0 is no bound.
	MaxConnections int
	// Cold is how cold it is, and what it bears meanwhile.
	Cold coldstart.Upstream
	// Backoff is the rest that it asked this host for.
	Backoff backoff.State
	// Limit is the limit that it names for all hosts together, and this host's turns; nil
	// is none.
	Limit *ratelimit.State
	// Added is when it joined the group; zero if it was there at the start.
	Added time.Time

	outstanding atomic.Int64
	begun       atomic.Int64             // sends, ever
	started     [maxTracked]atomic.Int64 // Unix time in ns, 0 if free
	latency     ewma
	peak        ewma
	report      atomic.Uint64 // others in flight and Unix time in µs
	failures    atomic.Int64
	failedAt    atomic.Int64 // Unix time in ns
	refusedAt   atomic.Int64 // Unix time in ns, 0 if never
	load        atomic.Pointer[Load]
	trouble     ewma // share of recent sends that failed, in units of troubleUnit
}

// Load is the newest whole load report of an upstream.
type Load struct {
	// InFlight is the number of requests there, waiting ones included.
	InFlight int
	// Slots is the number of requests that it serves at the same time.
	Slots int
	// Slowdown is how long work takes there, relative to usual.
	Slowdown float64
	// At is when it arrived.
	At time.Time
	// begun and ended count this entry host's sends that the report may hold.
	begun, ended int64
}

// SendMark is a moment in the sends of one entry host to one upstream.
type SendMark struct {
	begun int64
	set   bool
}

// Mark returns the present moment. What is sent after it may be missing in a
// report that is asked for now.
func (u *Upstream) Mark() SendMark { return SendMark{u.begun.Load(), true} }

// Load returns the newest whole load report, or nil. InFlight counts what this
// entry host has sent since it asked, and seen end since the answer came: where
// the report may or may not hold a request, it is counted.
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

// learnLoad keeps a whole report. Of two that arrive at once one may be lost.
func (u *Upstream) learnLoad(f Feedback) {
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

// SendDelay returns how much longer u gets nothing from this host: it rests, or this host has
// its next turn only then. It is 0 if a request may be sent now.
func (u *Upstream) SendDelay(now time.Time) time.Duration {
	return max(u.Backoff.Delay(now), u.Limit.Delay(now))
}

// HasTimeSlot reports whether u names a limit and this host may send it a request now.
func (u *Upstream) HasTimeSlot(now time.Time) bool { return u.Limit.Limited() && u.Limit.Open(now) }

// Outstanding returns the requests that this entry host has in flight there.
func (u *Upstream) Outstanding() int64 { return u.outstanding.Load() }

// Start records a request sent to u without its time. Prefer Begin.
func (u *Upstream) Start() {
	u.begun.Add(1)
	u.outstanding.Add(1)
}

// Done records the end of a request that was recorded with Start.
func (u *Upstream) Done() { u.outstanding.Add(-1) }

// Begin records a request sent to u. Finish must be called once for the result.
func (u *Upstream) Begin(now time.Time) Call {
	u.begun.Add(1)
	u.outstanding.Add(1)
	load := u.Load()
	c := Call{Upstream: u, Started: now, cell: untracked, load: load}
	for i := range u.started {
		if u.started[i].CompareAndSwap(0, now.UnixNano()) {
			c.cell = i
			break
		}
	}
	return c
}

func (u *Upstream) end(c Call, f Feedback) {
	u.learnReport(f)
	u.outstanding.Add(-1)
	u.learnLoad(f)
	if c.cell != untracked {
		u.started[c.cell].Store(0)
	}
	switch f.Outcome {
	case Answered:
		u.failures.Store(0)
		u.trouble.blendOver(f.Now, 0, FailureRateDecay)
		u.latency.add(f.Now, f.Latency)
		u.peak.addPeak(f.Now, f.Latency)
	case Failed:
		u.failedAt.Store(f.Now.UnixNano())
		u.failures.Add(1)
		u.trouble.blendOver(f.Now, troubleUnit, FailureRateDecay)
	case Refused:
		u.refusedAt.Store(f.Now.UnixNano())
	case Cancelled:
	}
}

// learnReport keeps the share of other entry hosts: what was reported less
// what this host has in flight itself. An older sample does not replace a newer.
func (u *Upstream) learnReport(f Feedback) {
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

// RemoteInFlight returns the requests that other entry hosts had in flight there by
// the newest report, and the report's age at the given time. It is false if
// there was none.
func (u *Upstream) RemoteInFlight(now time.Time) (count int64, age time.Duration, ok bool) {
	r := u.report.Load()
	if r == 0 {
		return 0, 0, false
	}
	sampled := int64(r & (1<<reportTimeBits - 1))
	age = time.Duration(now.UnixMicro()-sampled) * time.Microsecond
	return int64(r >> reportTimeBits), max(age, 0), true
}

// FailureRate returns the share of this host's recent sends there that failed, from
// 0 to 1. It fades with time when nothing is sent.
func (u *Upstream) FailureRate(now time.Time) float64 {
	share, age := u.trouble.value(now)
	return float64(share) / float64(troubleUnit) * math.Exp(-float64(age)/float64(FailureRateDecay))
}

// OldestAge returns how long the oldest request in flight has been waiting for
// its answer. At most eight sends are tracked.
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

// Latency returns the moving average of answers and the time since the last;
// zero if there was none.
func (u *Upstream) Latency(now time.Time) (mean, age time.Duration) {
	return u.latency.value(now)
}

// PeakLatency returns a moving average that follows a rise at once and decays
// slowly; zero if there was no answer.
func (u *Upstream) PeakLatency(now time.Time) time.Duration {
	v, age := u.peak.value(now)
	return time.Duration(float64(v) * math.Exp(-float64(age)/float64(LatencyDecay)))
}

// Failures returns the failures since the last answer and the time since the
// last failure.
func (u *Upstream) Failures(now time.Time) (count int64, age time.Duration) {
	return u.failures.Load(), time.Duration(now.UnixNano() - u.failedAt.Load())
}

// SinceRefusal returns the time since the upstream last refused a request; it is
// false if it never did.
func (u *Upstream) SinceRefusal(now time.Time) (age time.Duration, ok bool) {
	at := u.refusedAt.Load()
	return time.Duration(now.UnixNano() - at), at != 0
}

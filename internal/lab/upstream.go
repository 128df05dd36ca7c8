package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// failFastLatency is the response time of an upstream that fails fast.
const failFastLatency = 100 * time.Microsecond

// job is one request or probe at an upstream.
type job struct {
	serviceTime time.Duration
	done        func(balancer.Outcome)
	state       jobState
}

// jobState is the processing state of a job.
type jobState uint8

const (
	jobNew jobState = iota
	jobQueued
	jobRunning
	jobEnded
)

// upstream is a simulated server with slots, a queue and delayed load reports.
type upstream struct {
	clock  *Clock
	random *rand.Rand
	id     string
	domain int

	slots       int
	busy        int
	queue       []*job
	maxInFlight int

	meanServiceTime time.Duration
	slowdown        float64
	coldSince       time.Duration
	coldFactor      float64
	failFast        bool

	reportsZero      bool // always report 0 requests in flight
	reportInterval   time.Duration
	reportPhase      time.Duration
	lastReport       int64
	reportedInFlight int
}

func (u *upstream) inFlight() int { return u.busy + len(u.queue) }

// serviceTime draws the service time of a request with the given size factor.
func (u *upstream) serviceTime(size float64) time.Duration {
	return time.Duration(float64(u.meanServiceTime) * size * logNormal(u.random, serverSigma))
}

// logNormal draws from a log-normal distribution with mean 1.
func logNormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
}

// serviceTimeFactor returns the current multiplier of service times.
func (u *upstream) serviceTimeFactor() float64 {
	f := max(u.slowdown, 1)
	if u.coldFactor > 1 {
		warmed := float64(u.clock.now-u.coldSince) / float64(warmUpTime)
		f *= max(u.coldFactor-(u.coldFactor-1)*warmed, 1)
	}
	return f
}

// submit starts, queues, refuses or fails a job. An upstream that sheds load or
// fails fast responds without using a slot.
func (u *upstream) submit(j *job) {
	u.updateReport()
	switch {
	case j.state == jobEnded:
		j.done(balancer.Cancelled)
	case u.failFast:
		u.clock.After(failFastLatency, func() { j.done(balancer.Failed) })
	case u.inFlight() >= u.maxInFlight:
		u.clock.After(0, func() { j.done(balancer.Refused) })
	case u.busy < u.slots:
		u.start(j)
	default:
		j.state = jobQueued
		u.queue = append(u.queue, j)
	}
}

func (u *upstream) start(j *job) {
	j.state = jobRunning
	u.busy++
	d := time.Duration(float64(j.serviceTime) * u.serviceTimeFactor())
	u.clock.After(d, func() { u.finish(j) })
}

func (u *upstream) finish(j *job) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	u.releaseSlot()
	j.done(balancer.Answered)
}

// releaseSlot frees a slot and starts the next queued job.
func (u *upstream) releaseSlot() {
	u.updateReport()
	u.busy--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
}

// cancel ends a job early. A job that has not arrived yet ends as cancelled on
// arrival.
func (u *upstream) cancel(j *job) {
	previous := j.state
	j.state = jobEnded
	switch previous {
	case jobQueued:
		u.updateReport()
		u.queue = slices.DeleteFunc(u.queue, func(q *job) bool { return q == j })
		j.done(balancer.Cancelled)
	case jobRunning:
		u.releaseSlot()
		j.done(balancer.Cancelled)
	case jobNew, jobEnded:
	}
}

// updateReport samples the requests in flight if a reporting instant has passed
// since the last sample. It must be called before each change of inFlight.
func (u *upstream) updateReport() {
	n := int64((u.clock.now + u.reportPhase) / u.reportInterval)
	if n > u.lastReport {
		u.lastReport = n
		u.reportedInFlight = u.inFlight()
	}
}

// report returns the latest sample and its age.
func (u *upstream) report() balancer.Report {
	u.updateReport()
	sampled := time.Duration(u.lastReport)*u.reportInterval - u.reportPhase
	if u.reportsZero {
		return balancer.Report{Valid: true, Age: u.clock.now - sampled}
	}
	return balancer.Report{Valid: true, InFlight: u.reportedInFlight, Age: u.clock.now - sampled}
}

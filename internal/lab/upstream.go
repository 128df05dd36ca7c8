package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// failFastTime is the time in which an upstream that fails fast answers.
const failFastTime = 100 * time.Microsecond

// job is one request or probe at an upstream.
type job struct {
	service time.Duration
	done    func(balancer.Outcome)
	state   jobState
}

// jobState says how far a job has come.
type jobState uint8

const (
	jobNew jobState = iota
	jobQueued
	jobRunning
	jobEnded
)

// upstream is a fake server: slots, a queue, and a report that lags.
type upstream struct {
	clock  *Clock
	random *rand.Rand
	id     string
	domain int

	slots     int
	busy      int
	queue     []*job
	shedLimit int

	mean     time.Duration
	slowness float64
	coldAt   time.Duration
	cold     float64
	failFast bool

	silent      bool // always reports 0 requests
	reportEvery time.Duration
	reportPhase time.Duration
	reportTick  int64
	reported    int
}

func (u *upstream) inFlight() int { return u.busy + len(u.queue) }

// serviceTime draws the service time of a request with the given size.
func (u *upstream) serviceTime(size float64) time.Duration {
	return time.Duration(float64(u.mean) * size * logNormal(u.random, serverSigma))
}

// logNormal draws from a log-normal distribution with the mean 1.
func logNormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
}

// speed is the factor on service times now.
func (u *upstream) speed() float64 {
	f := max(u.slowness, 1)
	if u.cold > 1 {
		warm := float64(u.clock.now-u.coldAt) / float64(coldTime)
		f *= max(u.cold-(u.cold-1)*warm, 1)
	}
	return f
}

// submit takes a request. An upstream that sheds or fails answers at once.
func (u *upstream) submit(j *job) {
	u.tick()
	switch {
	case j.state == jobEnded:
		j.done(balancer.Cancelled)
	case u.failFast:
		u.clock.After(failFastTime, func() { j.done(balancer.Failed) })
	case u.inFlight() >= u.shedLimit:
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
	d := time.Duration(float64(j.service) * u.speed())
	u.clock.After(d, func() { u.finish(j) })
}

func (u *upstream) finish(j *job) {
	if j.state == jobEnded {
		return
	}
	j.state = jobEnded
	u.release()
	j.done(balancer.Answered)
}

// release frees a slot for the next job in the queue.
func (u *upstream) release() {
	u.tick()
	u.busy--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
}

// cancel ends a job early. A job that has not arrived is refused on arrival.
func (u *upstream) cancel(j *job) {
	was := j.state
	j.state = jobEnded
	switch was {
	case jobQueued:
		u.tick()
		u.queue = slices.DeleteFunc(u.queue, func(q *job) bool { return q == j })
		j.done(balancer.Cancelled)
	case jobRunning:
		u.release()
		j.done(balancer.Cancelled)
	case jobNew, jobEnded:
	}
}

// tick takes the sample of the newest reporting instant that has passed.
func (u *upstream) tick() {
	n := int64((u.clock.now + u.reportPhase) / u.reportEvery)
	if n > u.reportTick {
		u.reportTick = n
		u.reported = u.inFlight()
	}
}

// report returns the newest sample and its age.
func (u *upstream) report() balancer.Report {
	u.tick()
	sampled := time.Duration(u.reportTick)*u.reportEvery - u.reportPhase
	if u.silent {
		return balancer.Report{Valid: true, Age: u.clock.now - sampled}
	}
	return balancer.Report{Valid: true, InFlight: u.reported, Age: u.clock.now - sampled}
}

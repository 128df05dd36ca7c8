package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// failFastTime is the time in which an upstream that fails fast answers.
const failFastTime = 100 * time.Microsecond

// job is one request or probe at an upstream.
type job struct {
	service time.Duration
	done    func(balancer.Outcome)
}

// upstream is a fake server: slots, a queue, and a report that lags.
type upstream struct {
	clock  *Clock
	random *rand.Rand
	id     string
	domain int

	slots     int
	busy      int
	queue     []job
	shedLimit int

	mean     time.Duration
	sigma    float64
	slowness float64
	coldAt   time.Duration
	cold     float64
	failFast bool

	reportEvery time.Duration
	reportPhase time.Duration
	reportTick  int64
	reported    int
}

func (u *upstream) inFlight() int { return u.busy + len(u.queue) }

// serviceTime draws from a log-normal distribution with the given mean.
func (u *upstream) serviceTime() time.Duration {
	factor := math.Exp(u.random.NormFloat64()*u.sigma - u.sigma*u.sigma/2)
	return time.Duration(float64(u.mean) * factor)
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
func (u *upstream) submit(j job) {
	u.tick()
	switch {
	case u.failFast:
		u.clock.After(failFastTime, func() { j.done(balancer.Failed) })
	case u.inFlight() >= u.shedLimit:
		u.clock.After(0, func() { j.done(balancer.Refused) })
	case u.busy < u.slots:
		u.start(j)
	default:
		u.queue = append(u.queue, j)
	}
}

func (u *upstream) start(j job) {
	u.busy++
	d := time.Duration(float64(j.service) * u.speed())
	u.clock.After(d, func() { u.finish(j) })
}

func (u *upstream) finish(j job) {
	u.tick()
	u.busy--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
	j.done(balancer.Answered)
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
	return balancer.Report{Valid: true, InFlight: u.reported, Age: u.clock.now - sampled}
}

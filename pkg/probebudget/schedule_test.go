package probebudget

import (
	"slices"
	"time"
)

// tick is the step of virtual time.
const tick = 5 * time.Millisecond

var testPlan = Plan{MaxHosts: 6, Slots: 3, SlotTimePercent: 10, Cost: 6 * time.Millisecond, MaxLateness: 4 * tick}

type faultKind int

const (
	restart        faultKind = iota // killed and replaced immediately
	down                            // killed, replaced later
	pause                           // paused, then resumed
	pauseAfterTake                  // paused between the grant and sending
	split                           // network partition after this host
	lag                             // the list of live hosts is not updated
	loss                            // probes are abandoned and arrive late
	numFaults
)

var faultNames = [numFaults]string{"restart", "down", "pause", "pause before send", "split", "list lag", "loss"}

// fault is one step of a random schedule.
type fault struct {
	kind  faultKind
	after int // ticks since the previous fault
	host  int
	ticks int // duration
}

type process struct {
	spender  spender
	started  int // tick
	downTo   int
	pauseTo  int
	pauseArm int // duration of the pause after the next grant, in ticks
	rate     float64
	taken    bool
	endsAt   int // tick at which the probe in flight ends; 0 if there is none
	outcome  Outcome
}

// fleet simulates MaxHosts processes under a schedule and records when probes arrive at
// the upstream.
type fleet struct {
	newSpender func(time.Time, Plan) spender
	procs      []process
	splitAt    int
	splitTo    int
	lagTo      int
	lossTo     int
	seenLive   int
	arrivals   []int
	noise      uint64
}

func (f *fleet) local(p *process, now int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(now) * float64(tick) * p.rate))
}

func (f *fleet) start(i, now int) {
	p := &f.procs[i]
	rate := 1 + (float64(f.draw(3))-1)*ClockDrift*0.999
	*p = process{started: now, rate: rate}
	p.spender = f.newSpender(f.local(p, now), testPlan)
}

// draw returns a number below n from a deterministic generator, so that all variants get
// the same delays for one schedule.
func (f *fleet) draw(n int) int {
	f.noise = f.noise*6364136223846793005 + 1442695040888963407
	return int(f.noise>>33) % n
}

func run(newSpender func(time.Time, Plan) spender, faults []fault, ticks int) []int {
	f := &fleet{newSpender: newSpender, procs: make([]process, testPlan.MaxHosts), noise: 1}
	for i := range f.procs {
		f.start(i, 0)
	}
	next := 0
	due := 0
	for now := 1; now <= ticks; now++ {
		for next < len(faults) && now >= due+faults[next].after {
			due += faults[next].after
			f.inject(faults[next], now)
			next++
		}
		f.step(now)
	}
	slices.Sort(f.arrivals)
	return f.arrivals
}

func (f *fleet) inject(x fault, now int) {
	p := &f.procs[x.host]
	switch x.kind {
	case restart:
		f.start(x.host, now)
	case down:
		p.downTo = now + x.ticks
	case pause:
		p.pauseTo = now + x.ticks
	case pauseAfterTake:
		p.pauseArm = x.ticks
	case split:
		f.splitAt, f.splitTo = x.host, now+x.ticks
	case lag:
		f.lagTo = now + x.ticks
	case loss:
		f.lossTo = now + x.ticks
	}
}

func (f *fleet) step(now int) {
	if now >= f.lagTo {
		f.seenLive = f.live(0, len(f.procs), now)
	}
	for i := range f.procs {
		p := &f.procs[i]
		if p.downTo > 0 && now == p.downTo {
			f.start(i, now)
		}
		if now >= p.downTo && now >= p.pauseTo {
			f.act(p, i, now)
		}
	}
}

func (f *fleet) live(from, to, now int) int {
	n := 0
	for _, p := range f.procs[from:to] {
		if now >= p.downTo && now >= p.pauseTo {
			n++
		}
	}
	return max(n, 1)
}

// view returns the number of live hosts as seen by host i.
func (f *fleet) view(i, now int) int {
	if now >= f.splitTo {
		return f.seenLive
	}
	if i <= f.splitAt {
		return f.live(0, f.splitAt+1, now)
	}
	return f.live(f.splitAt+1, len(f.procs), now)
}

// act runs one step of a process: end a probe, send one, or request one.
func (f *fleet) act(p *process, i, now int) {
	switch {
	case p.taken:
		f.send(p, now)
	case p.endsAt > 0 && now >= p.endsAt:
		p.endsAt = 0
		p.spender.settle(f.local(p, now), p.outcome)
	case p.endsAt == 0 && p.spender.take(f.local(p, now), f.view(i, now)):
		if p.pauseArm > 0 {
			p.pauseTo = now + p.pauseArm
			p.pauseArm = 0
			p.taken = true
			return
		}
		f.send(p, now)
	}
}

func (f *fleet) send(p *process, now int) {
	p.taken = false
	p.endsAt = now + 1
	p.outcome = Answered
	arrive := now
	if now < f.lossTo {
		p.outcome = Abandoned
		arrive = now + f.draw(int(testPlan.MaxLateness/tick))
	}
	f.arrivals = append(f.arrivals, arrive)
}

// worst returns the maximum number of arrivals in any half-open window of the given length
// in ticks.
func worst(arrivals []int, window int) int {
	most, from := 0, 0
	for i, at := range arrivals {
		for arrivals[from] <= at-window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

package lab

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

func testUpstream(c *Clock) *upstream {
	return &upstream{
		clock:           c,
		random:          rand.New(rand.NewPCG(1, 1)),
		slots:           1,
		maxInFlight:     3,
		meanServiceTime: time.Millisecond,
		reportInterval:  5 * time.Millisecond,
	}
}

func TestUpstreamQueuesShedsAndCancels(t *testing.T) {
	is := is.New(t)
	c := &Clock{}
	u := testUpstream(c)
	var ends []balancer.Outcome
	submit := func() *job {
		j := &job{serviceTime: 10 * time.Millisecond, done: func(o balancer.Outcome) { ends = append(ends, o) }}
		u.submit(j)
		return j
	}
	running, queued := submit(), submit()
	submit()
	submit() // exceeds maxInFlight
	c.run(0)
	is.Equal(ends, []balancer.Outcome{balancer.Refused})
	u.cancel(queued)
	u.cancel(running) // frees the slot for the third
	u.cancel(running) // no effect
	is.Equal(ends[1:], []balancer.Outcome{balancer.Cancelled, balancer.Cancelled})
	is.Equal(u.busy, 1)
	c.run(10 * time.Millisecond)
	is.Equal(ends[3:], []balancer.Outcome{balancer.Answered})
	is.Equal(u.inFlight(), 0)
}

func TestReportIsDelayed(t *testing.T) {
	is := is.New(t)
	c := &Clock{}
	u := testUpstream(c)
	c.After(6*time.Millisecond, func() {
		u.submit(&job{serviceTime: time.Second, done: func(balancer.Outcome) {}})
	})
	c.run(9 * time.Millisecond)
	is.Equal(u.report(), balancer.Report{Valid: true, InFlight: 0, Age: 4 * time.Millisecond})
	c.run(11 * time.Millisecond)
	is.Equal(u.report(), balancer.Report{Valid: true, InFlight: 1, Age: time.Millisecond})
}

func TestEvaluateGoalFindsBestBaseline(t *testing.T) {
	is := is.New(t)
	row := func(name string, ms int64) Row {
		r := newResult()
		_ = r.Latency.RecordValue(ms * 1000)
		return Row{Candidate: name, Total: r}
	}
	g := EvaluateGoal([]Row{
		row("least-outstanding", 30), row("random", 20), row("spindle", 10),
		row("spindle+hedge", 5), row("least-outstanding+hedge", 2), row(ReferenceName, 1),
	}, 99)
	is.Equal(g.BestBaselineName, "random") // hedging candidates are not baselines
	is.Equal(int(g.BestBaseline), 20)
	is.Equal(int(g.LeastOutstanding), 30)
	is.Equal(int(g.Spindle), 10)
	is.Equal(int(g.Hedged), 5)
	is.Equal(int(g.LeastOutstandingHedged), 2)
}

func TestZeroReporterReportsNoLoad(t *testing.T) {
	is := is.New(t)
	c := &Clock{}
	u := testUpstream(c)
	u.reportsZero = true
	u.submit(&job{serviceTime: time.Second, done: func(balancer.Outcome) {}})
	c.run(11 * time.Millisecond)
	is.Equal(u.report(), balancer.Report{Valid: true, InFlight: 0, Age: time.Millisecond})
}

func TestFirstHostGetsItsExtraShare(t *testing.T) {
	is := is.New(t)
	s := newSimulation(Run{Workload: Workloads[0], Fault: Fault{Load: 1, FirstHostShare: unevenFirstHostShare}, NewHost: NewBasicHost, Seed: 1})
	first := 0
	const draws = 10_000
	for range draws {
		if s.randomHost() == s.hosts[0] {
			first++
		}
	}
	is.True(first > draws/6 && first < draws/4) // 15% plus a sixteenth of the rest
}

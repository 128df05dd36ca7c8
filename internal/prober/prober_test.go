package prober

import (
	"context"
	"math"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

var plan = probebudget.Plan{MaxHosts: 4, Slots: 3, SlotTimePercent: 10, Cost: 6 * time.Millisecond, MaxLateness: 100 * time.Millisecond}

// fakeUpstreams responds after a delay and records when probes arrive.
type fakeUpstreams struct {
	mu    sync.Mutex
	delay time.Duration
	load  string
	sent  map[string][]time.Time
}

func (f *fakeUpstreams) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	f.mu.Lock()
	f.sent[address] = append(f.sent[address], time.Now())
	f.mu.Unlock()
	select {
	case <-time.After(f.delay):
		return &httpwire.Response{Status: http.StatusOK, Header: http.Header{HeaderLoad: {f.load}}}, nil
	case <-ctx.Done():
		return nil, errkind.New(errkind.DeadlineAfterSend, "probe")
	}
}

type recorder struct {
	mu    sync.Mutex
	codes map[event.Code]int
}

func (r *recorder) Emit(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[e.Code]++
}

type rig struct {
	*Prober
	upstreams *fakeUpstreams
	events    *recorder
	reports   []Report
}

func newRig(delay time.Duration, load string) *rig {
	r := &rig{
		upstreams: &fakeUpstreams{delay: delay, load: load, sent: map[string][]time.Time{}},
		events:    &recorder{codes: map[event.Code]int{}},
	}
	r.Prober = New(Config{
		Sender: r.upstreams, Events: r.events, Path: "/load", Timeout: 50 * time.Millisecond, ReportTTL: 100 * time.Millisecond,
		Report: func(x Report) { r.reports = append(r.reports, x) },
	})
	return r
}

func (r *rig) runFor(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	go r.Run(ctx)
	time.Sleep(d)
	cancel()
	synctest.Wait()
}

func TestProbesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(2*time.Millisecond, "2")
		r.SetTargets([]Target{{"a", "a:1", "a:1", plan}, {"b", "b:1", "b:1", plan}, {"a", "a:1", "a:1", plan}})
		r.runFor(t, 10*time.Second)
		for _, at := range r.upstreams.sent {
			is.True(len(at) > 50) // the share allows 125
			for i := 1; i < len(at); i++ {
				is.True(at[i].Sub(at[i-1]) >= plan.Window())
			}
		}
		is.Equal(len(r.reports), int(r.Counters("a:1").Answered+r.Counters("b:1").Answered))
		is.Equal(r.reports[0].Active, 2)
		is.Equal(r.events.codes[event.ProbeOverBudget], 0)
	})
}

func TestNoProbeWhileResponsesReportLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(0, "0")
		r.SetTargets([]Target{{"a", "a:1", "a:1", plan}, {"b", "b:1", "b:1", plan}})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		for range 100 {
			r.RecordReport("a:1", time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
		is.Equal(len(r.upstreams.sent["a:1"]), 0)
		is.True(len(r.upstreams.sent["b:1"]) > 0)
	})
}

func TestSlowProbeIsAbandonedAndCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(time.Hour, "0")
		r.SetTargets([]Target{{"a", "a:1", "a:1", plan}})
		r.runFor(t, 20*time.Second)
		c := r.Counters("a:1")
		is.True(c.Abandoned > 0)
		share := time.Duration(float64(20*time.Second) * plan.Rate() / float64(plan.MaxHosts))
		is.True(c.Spent <= share)
		is.Equal(r.events.codes[event.ProbeOverran], int(c.Abandoned))
	})
}

func TestResponseWithoutLoadIsNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(0, "many")
		r.SetTargets([]Target{{"a", "a:1", "a:1", plan}, {"bad", "b:1", "b:1", probebudget.Plan{}}})
		r.runFor(t, time.Second)
		is.Equal(len(r.reports), 0)
		is.True(r.events.codes[event.ProbeFailed] > 0)
		is.Equal(r.events.codes[event.BudgetRejected], 1)
	})
}

func TestTargetsOfDocuments(t *testing.T) {
	is := is.New(t)
	probe := func(percent float64) config.ProbeBudget {
		return config.ProbeBudget{SlotTimePercent: percent, Cost: config.Duration(time.Millisecond)}
	}
	a := config.Upstream{ID: "a", Address: "a:1", Slots: 3}
	b := config.Upstream{ID: "b", Address: "b:1", Slots: 3, State: config.Draining}
	otherName := config.Upstream{ID: "x", Address: "a:1", Slots: 3}
	otherServer := config.Upstream{ID: "a", Address: "c:1", Slots: 3}
	ledger := &config.Service{Groups: []config.Group{
		{Probe: probe(2), Upstreams: []config.Upstream{a, b}},
		{Probe: probe(1), Upstreams: []config.Upstream{a}},
	}}
	catalogue := &config.Service{Groups: []config.Group{
		{Probe: probe(0.5), Upstreams: []config.Upstream{otherName, otherServer}},
	}}
	targets := merge(Targets([]*config.Service{ledger}, 24, time.Second))
	is.Equal(len(targets), 1)
	is.Equal(targets["a:1"].Plan.SlotTimePercent, 1.0) // the stricter budget of both groups

	targets = merge(Targets([]*config.Service{ledger, catalogue}, 24, time.Second))
	is.Equal(len(targets), 2) // one target per address, whatever the IDs
	is.Equal(targets["a:1"].Plan.SlotTimePercent, 0.5)
	is.Equal(targets["a:1"].ids, []string{"a", "x"})
	is.Equal(targets["c:1"].ids, []string{"a"})
}

// TestLargeFleetIsProbedInTurn checks that no upstream is starved if there are too many to
// scan in each poll and probes are always due.
func TestLargeFleetIsProbedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(0, "1")
		r.SetTargets(manyTargets(1000, 1))
		r.runFor(t, 65*time.Second)
		least, most := math.MaxInt, 0
		for _, sent := range r.upstreams.sent {
			least, most = min(least, len(sent)), max(most, len(sent))
		}
		is.Equal(len(r.upstreams.sent), 1000) // none is starved
		is.True(most-least <= 2)
		is.Equal(r.events.codes[event.ProbeOverBudget], 0)
	})
}

func TestUpstreamsWithoutBudgetAreNoTargets(t *testing.T) {
	is := is.New(t)
	r := newRig(0, "1")
	r.SetTargets(manyTargets(10, 1))
	is.Equal(len(*r.targets.Load()), 10)
	kept := (*r.targets.Load())["1"]
	r.SetTargets(manyTargets(5, 1))
	is.Equal((*r.targets.Load())["1"], kept) // its state is kept
	r.SetTargets(manyTargets(10, 0))
	is.Equal(len(*r.targets.Load()), 0)
	_, due := r.budget.Due("1")
	is.True(!due)
}

package lab

import "time"

// Fault is a condition under which a workload runs.
type Fault struct {
	// Name identifies the fault.
	Name string
	// Load is the offered load as a share of capacity.
	Load float64
	// Surge multiplies the load during each period's first SurgeTime; 0 is off.
	Surge float64
	// ReportEvery is the reporting interval; 0 draws one per upstream between
	// 5 and 500 ms.
	ReportEvery time.Duration
	// ShedLimit replaces the default limit of requests at an upstream.
	ShedLimit int
	// Silent is the number of upstreams that always report 0 requests.
	Silent int
	// Uneven gives the first entry host this share beside its part; 0 spreads
	// them evenly.
	Uneven float64
	// Windowed counts only requests that arrive within Window after an onset.
	Windowed bool

	onset func(*world)
}

const (
	// Window is the time after an onset in which requests count.
	Window = 100 * time.Millisecond
	// period is the time between two onsets.
	period = time.Second
	// slowTime, slowFactor describe a sudden slow-down of one upstream.
	slowTime   = 300 * time.Millisecond
	slowFactor = 10
	// failTime is how long an upstream fails fast.
	failTime = 500 * time.Millisecond
	// coldFactor is the slowness of a cold upstream at its start.
	coldFactor = 5
	// surgeTime is the length of a surge.
	surgeTime = 100 * time.Millisecond
	// noisyEvery, noisyTime and noisyFactor describe noisy neighbours.
	noisyEvery  = time.Second
	noisyTime   = 50 * time.Millisecond
	noisyFactor = 4
	// unevenShare is the share that the first entry host gets beside its even
	// part of the rest; together 2.8 to 3.6 times an even part.
	unevenShare = 0.15
)

// Faults are the conditions of the table.
var Faults = []Fault{
	{Name: "steady", Load: 0.8},
	{Name: "slowdown", Load: 0.8, Windowed: true, onset: slowOne},
	{Name: "noisy", Load: 0.8, onset: noisyAll},
	{Name: "surge", Load: 0.5, Surge: 2, Windowed: true},
	{Name: "cold", Load: 0.8, onset: replaceOne},
	{Name: "failfast", Load: 0.7, Windowed: true, onset: failOne},
	{Name: "shed", Load: 0.9, ShedLimit: 4},
	{Name: "fresh", Load: 0.8, ReportEvery: minReportEvery},
	{Name: "stale", Load: 0.8, ReportEvery: maxReportEvery},
	{Name: "overload", Load: 2},
	{Name: "twofaults", Load: 0.8, Windowed: true, onset: slowTwo},
	{Name: "slowandfail", Load: 0.7, Windowed: true, onset: slowAndFail},
	{Name: "misleading", Load: 0.8, Silent: 1},
	{Name: "uneven", Load: 0.8, Uneven: unevenShare},
	{Name: "doubling", Load: 0.8, Surge: 2, Windowed: true},
}

// slowOne makes one upstream slow without warning.
func slowOne(w *world) {
	u := w.drawUpstream()
	u.slowness = slowFactor
	w.clock.After(slowTime, func() { u.slowness = 1 })
}

// slowTwo makes two upstreams slow at the same time; they may be the same.
func slowTwo(w *world) {
	slowOne(w)
	slowOne(w)
}

// slowAndFail makes one upstream slow and one fail fast.
func slowAndFail(w *world) {
	slowOne(w)
	failOne(w)
}

// failOne makes one upstream fail fast.
func failOne(w *world) {
	u := w.drawUpstream()
	u.failFast = true
	w.clock.After(failTime, func() { u.failFast = false })
}

// noisyAll gives every upstream a short slow phase at its own time.
func noisyAll(w *world) {
	for _, u := range w.upstreams {
		start := time.Duration(w.faults.Int64N(int64(noisyEvery)))
		w.clock.After(start, func() {
			u.slowness = noisyFactor
			w.clock.After(noisyTime, func() { u.slowness = 1 })
		})
	}
}

// replaceOne starts a cold server in the place of another.
func replaceOne(w *world) {
	u := w.drawUpstream()
	u.cold = coldFactor
	u.coldAt = w.clock.now
	for _, h := range w.hosts {
		h.replace(u)
	}
}

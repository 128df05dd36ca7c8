package lab

import "time"

// Fault is a scenario in which a workload runs.
type Fault struct {
	// Name identifies the fault.
	Name string
	// Load is the offered load as a fraction of capacity.
	Load float64
	// SurgeFactor multiplies the load during the first 100 ms of each period of
	// one second; 0 disables surges.
	SurgeFactor float64
	// ReportInterval is the interval between load reports of an upstream. If 0,
	// each upstream gets a random interval between 5 and 500 ms.
	ReportInterval time.Duration
	// MaxInFlight overrides the number of requests in flight at which an upstream
	// refuses new ones; 0 keeps the default.
	MaxInFlight int
	// ZeroReporters is the number of upstreams that always report 0 requests in
	// flight.
	ZeroReporters int
	// FirstHostShare is the fraction of requests that go to the first entry host.
	// The rest is spread evenly over all entry hosts, including the first.
	FirstHostShare float64
	// OnsetWindowOnly restricts measurements to requests that arrive within
	// OnsetWindow after a fault starts.
	OnsetWindowOnly bool

	// inject starts the fault once per period.
	inject func(*simulation)
}

const (
	// OnsetWindow is the time after the start of a fault in which requests are
	// measured if Fault.OnsetWindowOnly is set.
	OnsetWindow = 100 * time.Millisecond
	// onsetPeriod is the time between two starts of a fault.
	onsetPeriod = time.Second
	// slowDuration and slowFactor describe a sudden slowdown of one upstream.
	slowDuration = 300 * time.Millisecond
	slowFactor   = 10
	// failFastDuration is how long an upstream fails all requests at once.
	failFastDuration = 500 * time.Millisecond
	// initialColdFactor multiplies the service time of a cold upstream at its
	// start.
	initialColdFactor = 5
	// surgeDuration is the length of a load surge.
	surgeDuration = 100 * time.Millisecond
	// noisyPeriod, noisyDuration and noisyFactor describe the effect of noisy
	// neighbours.
	noisyPeriod   = time.Second
	noisyDuration = 50 * time.Millisecond
	noisyFactor   = 4
	// unevenFirstHostShare is the fraction of requests that the first entry host
	// receives in addition to its even part of the rest. In total it receives 2.8
	// to 3.6 times an even part.
	unevenFirstHostShare = 0.15
)

// Faults are the scenarios of the comparison.
var Faults = []Fault{
	{Name: "steady", Load: 0.8},
	{Name: "slowdown", Load: 0.8, OnsetWindowOnly: true, inject: slowOneUpstream},
	{Name: "noisy", Load: 0.8, inject: injectNoise},
	{Name: "surge", Load: 0.5, SurgeFactor: 2, OnsetWindowOnly: true},
	{Name: "cold", Load: 0.8, inject: replaceOneUpstream},
	{Name: "failfast", Load: 0.7, OnsetWindowOnly: true, inject: failOneUpstream},
	{Name: "shed", Load: 0.9, MaxInFlight: 4},
	{Name: "fresh", Load: 0.8, ReportInterval: minReportInterval},
	{Name: "stale", Load: 0.8, ReportInterval: maxReportInterval},
	{Name: "overload", Load: 2},
	{Name: "twofaults", Load: 0.8, OnsetWindowOnly: true, inject: slowTwoUpstreams},
	{Name: "slowandfail", Load: 0.7, OnsetWindowOnly: true, inject: slowOneFailOne},
	{Name: "misleading", Load: 0.8, ZeroReporters: 1},
	{Name: "uneven", Load: 0.8, FirstHostShare: unevenFirstHostShare},
	{Name: "doubling", Load: 0.8, SurgeFactor: 2, OnsetWindowOnly: true},
}

// slowOneUpstream slows down a random upstream.
func slowOneUpstream(s *simulation) {
	u := s.randomUpstream()
	u.slowdown = slowFactor
	s.clock.After(slowDuration, func() { u.slowdown = 1 })
}

// slowTwoUpstreams slows down two random upstreams at the same time. Both draws
// may select the same upstream.
func slowTwoUpstreams(s *simulation) {
	slowOneUpstream(s)
	slowOneUpstream(s)
}

// slowOneFailOne slows down a random upstream and makes a random upstream fail fast.
// Both draws may select the same upstream.
func slowOneFailOne(s *simulation) {
	slowOneUpstream(s)
	failOneUpstream(s)
}

// failOneUpstream makes a random upstream fail fast.
func failOneUpstream(s *simulation) {
	u := s.randomUpstream()
	u.failFast = true
	s.clock.After(failFastDuration, func() { u.failFast = false })
}

// injectNoise slows down every upstream briefly, each at a random time within the
// period.
func injectNoise(s *simulation) {
	for _, u := range s.upstreams {
		start := time.Duration(s.faultRand.Int64N(int64(noisyPeriod)))
		s.clock.After(start, func() {
			u.slowdown = noisyFactor
			s.clock.After(noisyDuration, func() { u.slowdown = 1 })
		})
	}
}

// replaceOneUpstream replaces a random upstream by a newly started, cold one.
func replaceOneUpstream(s *simulation) {
	u := s.randomUpstream()
	u.coldFactor = initialColdFactor
	u.coldSince = s.clock.now
	for _, h := range s.hosts {
		h.replaceRecord(u)
	}
}

// Package availability estimates, for one service, how likely a load query in each failure
// domain finds an upstream with a free slot, and decides in which domain a request looks for
// an upstream first.
//
// The estimates come from the load queries of this host and from reports of other hosts. They
// only order the queries: a request is still sent only to an upstream that has just reported a
// free slot. A wrong or outdated estimate therefore costs queries, but overloads no upstream.
//
// The package reads no clock, starts no goroutines and uses no random numbers. Estimates is
// safe for concurrent use.
package availability

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sampleWeight is the weight of one query in the moving average. Its time constant of
	// sixteen queries notices a burst within a second on hosts with some requests per second.
	// With eight, twice as many requests crossed failure domains without need under even load.
	sampleWeight = 1.0 / 16
	// reportWeight is the weight of one query in the report of another host. It is larger: a
	// report covers the last second, while this host rarely queries the domain itself.
	reportWeight = 1.0 / 8
	// initialFree is the estimate for a domain without samples: it is worth a query.
	initialFree = 1.0
	// unknownFree is the value that an estimate without new samples approaches, so that a
	// domain that was full is queried again.
	unknownFree = 0.7
	// unknownAfter is the time constant of that approach.
	unknownAfter = 2 * time.Second
	// remoteMargin is what a query in another failure domain has to be worth more, as a
	// share of a slot found: traffic between domains is charged, and answers take longer.
	// Without a crossing cost, a slot there has to be 2.5 times as likely as in the local
	// domain.
	remoteMargin = 0.6
	// MinReportSamples is the number of queries from which on a host reports its estimate.
	MinReportSamples = 4
	// MaxReportAge is the age from which on a report is rejected.
	MaxReportAge = 3 * time.Second
	// MaxReportSamples bounds the samples in a report.
	MaxReportSamples = 10_000
	// maxMergedSamples bounds the weight of one report, so that no single host determines
	// the estimate.
	maxMergedSamples = 8
)

// Report is a host's estimate for its own failure domain.
type Report struct {
	// Domain is the failure domain of the host and of the upstreams that it queried.
	Domain string
	// Free is the share of queries that found a free slot, from 0 to 1.
	Free float64
	// Samples is the number of queries.
	Samples int
	// Age is the time since the last of them.
	Age time.Duration
}

// Validate returns an error if the report can't be true or is too old.
func (r Report) Validate() error {
	switch {
	case r.Domain == "":
		return errors.New("availability report: no failure domain")
	case !(r.Free >= 0 && r.Free <= 1): // also NaN
		return errors.Newf("availability report: free share %v", r.Free)
	case r.Samples < 1 || r.Samples > MaxReportSamples:
		return errors.Newf("availability report: %d samples", r.Samples)
	case r.Age < 0 || r.Age > MaxReportAge:
		return errors.Newf("availability report: age %s", r.Age)
	}
	return nil
}

// estimate is the moving average of one failure domain.
type estimate struct {
	free float64
	at   time.Time
}

// value returns the average, which approaches unknownFree without samples.
func (e estimate) value(now time.Time) float64 {
	age := max(now.Sub(e.at), 0)
	return e.free + (unknownFree-e.free)*(1-math.Exp(-float64(age)/float64(unknownAfter)))
}

// Estimates holds the estimates of one service on one host.
type Estimates struct {
	local string

	mu      sync.Mutex
	domains map[string]estimate
	// Queries in the local domain since the last report.
	free, samples           int
	firstSample, lastSample time.Time
}

// New returns estimates for a host in the failure domain local.
func New(local string) *Estimates {
	return &Estimates{local: local, domains: make(map[string]estimate)}
}

// Observe records a load query of this host, and whether it found a free slot.
func (e *Estimates) Observe(domain string, now time.Time, free bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := 0.0
	if free {
		sample = 1
	}
	e.add(domain, now, sample, sampleWeight)
	if domain != e.local {
		return
	}
	e.countForReport(now, free)
}

// countForReport counts a query in the local domain for the next report. It starts again when
// the first query that was counted is too old for a report: a host with few queries would
// otherwise report the load of minutes ago as that of now.
func (e *Estimates) countForReport(now time.Time, free bool) {
	if now.Sub(e.firstSample) > MaxReportAge {
		e.free, e.samples, e.firstSample = 0, 0, now
	}
	e.samples++
	e.lastSample = now
	if free {
		e.free++
	}
}

// Merge includes the report of another host. An invalid report, or one about the local
// domain, changes nothing.
func (e *Estimates) Merge(now time.Time, r Report) error {
	if err := r.Validate(); err != nil {
		return err
	}
	if r.Domain == e.local {
		return errors.New("availability report: about the receiver's own failure domain")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	weight := 1 - math.Pow(1-reportWeight, float64(min(r.Samples, maxMergedSamples)))
	e.add(r.Domain, now.Add(-r.Age), r.Free, weight)
	return nil
}

// add moves the estimate of a domain towards a sample that was taken at a time. An earlier
// sample than the newest one does not make the estimate older.
func (e *Estimates) add(domain string, at time.Time, sample, weight float64) {
	old, ok := e.domains[domain]
	if !ok {
		old = estimate{free: initialFree, at: at}
	}
	if old.at.After(at) {
		at = old.at
	}
	value := old.value(at)
	e.domains[domain] = estimate{free: value + (sample-value)*weight, at: at}
}

// Free returns the probability that a query in a domain finds a free slot.
func (e *Estimates) Free(domain string, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value(domain, now)
}

func (e *Estimates) value(domain string, now time.Time) float64 {
	known, ok := e.domains[domain]
	if !ok {
		return initialFree
	}
	return known.value(now)
}

// Report returns the queries of this host in its own domain since the last report. It returns
// false if there were fewer than MinReportSamples; they then count for the next report, unless
// the first of them is older than MaxReportAge by then.
func (e *Estimates) Report(now time.Time) (Report, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < MinReportSamples {
		return Report{}, false
	}
	r := Report{
		Domain:  e.local,
		Free:    float64(e.free) / float64(e.samples),
		Samples: min(e.samples, MaxReportSamples),
		Age:     max(now.Sub(e.lastSample), 0),
	}
	e.free, e.samples, e.firstSample = 0, 0, time.Time{}
	return r, r.Age <= MaxReportAge
}

// RemoteFirst returns the domain, one of domains, in which a request with the given crossing
// cost (0 to 1) should look for an upstream before the local domain. It returns false if the
// local domain comes first.
func (e *Estimates) RemoteFirst(now time.Time, domains []string, cost float64) (domain string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	best := e.value(e.local, now)
	worth := 1 - min(max(cost, 0)+remoteMargin, 1)
	for _, d := range domains {
		if d == e.local {
			continue
		}
		if v := e.value(d, now) * worth; v > best {
			domain, best, ok = d, v, true
		}
	}
	return domain, ok
}

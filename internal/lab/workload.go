package lab

import "time"

const (
	// sameDomainDelay is the assumed one-way delay within a failure domain.
	sameDomainDelay = 100 * time.Microsecond
	// crossDomainDelay is the one-way delay between failure domains.
	crossDomainDelay = 1500 * time.Microsecond
	// probeTime is the slot time of one probe.
	probeTime = 6 * time.Millisecond
	// minReportEvery and maxReportEvery bound the staleness of reports.
	minReportEvery = 5 * time.Millisecond
	maxReportEvery = 500 * time.Millisecond
	// coldTime is how long a cold upstream takes to warm up.
	coldTime = 500 * time.Millisecond

	slotsPerUpstream = 3
	// requestSigma and serverSigma are the shapes of two log-normal factors of a
	// service time: one belongs to the request and is the same for every send of
	// it, one is drawn anew by each server. Together their shape is 1, and the
	// 99th percentile is 6.2 times the mean.
	requestSigma = 0.7
	serverSigma  = 0.714
	// shedLimit is the number of requests at an upstream over which it refuses.
	shedLimit = 24
	// requestDeadline is when a request is given up.
	requestDeadline = 500 * time.Millisecond
)

// Workload is one service of the brief. The mean service time is an
// assumption: the brief states none.
type Workload struct {
	// Name is the service.
	Name string
	// Upstreams is the number of endpoints.
	Upstreams int
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	// FailureDomains is the number of failure domains.
	FailureDomains int
	// Mean is the mean service time.
	Mean time.Duration
}

// Workloads are the six services of the brief.
var Workloads = []Workload{
	{"catalogue", 10, 16, 4, 4 * time.Millisecond},
	{"ledger", 8, 16, 4, 6 * time.Millisecond},
	{"invoicing", 20, 18, 4, 10 * time.Millisecond},
	{"location", 7, 13, 3, 3 * time.Millisecond},
	{"unlock", 6, 13, 3, 8 * time.Millisecond},
	{"battery", 15, 14, 3, 6 * time.Millisecond},
}

// Loopback has the sizes of make measure-ranking, to compare the lab with real
// processes.
var Loopback = Workload{"loopback", 6, 6, 1, 10 * time.Millisecond}

// capacity is the number of requests per second that all slots serve.
func (w Workload) capacity() float64 {
	return float64(w.Upstreams*slotsPerUpstream) / w.Mean.Seconds()
}

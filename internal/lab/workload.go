package lab

import "time"

const (
	// sameDomainDelay is the one-way network delay within a failure domain. It is
	// an assumption.
	sameDomainDelay = 100 * time.Microsecond
	// crossDomainDelay is the one-way network delay between failure domains.
	crossDomainDelay = 1500 * time.Microsecond
	// probeServiceTime is the slot time used by one probe.
	probeServiceTime = 6 * time.Millisecond
	// minReportInterval and maxReportInterval bound the interval between load
	// reports.
	minReportInterval = 5 * time.Millisecond
	maxReportInterval = 500 * time.Millisecond
	// warmUpTime is how long a cold upstream takes to reach full speed.
	warmUpTime = 500 * time.Millisecond

	slotsPerUpstream = 3
	// requestSigma and serverSigma are the shape parameters of two log-normal
	// factors of the service time. The first factor is drawn per request and is
	// the same for all its attempts; the second is drawn per attempt. Their product
	// has a shape parameter of 1 and a 99th percentile of 6.2 times the mean.
	requestSigma = 0.7
	serverSigma  = 0.714
	// defaultMaxInFlight is the number of requests in flight at which an upstream
	// refuses new ones.
	defaultMaxInFlight = 24
	// requestDeadline is the time after which a request is given up.
	requestDeadline = 500 * time.Millisecond
)

// Workload describes a simulated service. The mean service times of the reference
// deployments are assumptions, because their requirements state none.
type Workload struct {
	// Name is the name of the service.
	Name string
	// Upstreams, EntryHosts and FailureDomains are the numbers of each.
	Upstreams      int
	EntryHosts     int
	FailureDomains int
	// MeanServiceTime is the mean service time of a request.
	MeanServiceTime time.Duration
}

// Workloads are the six services of the two reference deployments.
var Workloads = []Workload{
	{"catalogue", 10, 16, 4, 4 * time.Millisecond},
	{"ledger", 8, 16, 4, 6 * time.Millisecond},
	{"invoicing", 20, 18, 4, 10 * time.Millisecond},
	{"location", 7, 13, 3, 3 * time.Millisecond},
	{"unlock", 6, 13, 3, 8 * time.Millisecond},
	{"battery", 15, 14, 3, 6 * time.Millisecond},
}

// Loopback has the sizes used by "make measure-ranking", to compare simulated
// results with those of real processes.
var Loopback = Workload{"loopback", 6, 6, 1, 10 * time.Millisecond}

// capacity returns the requests per second that all slots together can serve.
func (w Workload) capacity() float64 {
	return float64(w.Upstreams*slotsPerUpstream) / w.MeanServiceTime.Seconds()
}

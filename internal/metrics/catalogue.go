// Package metrics derives metrics from decision events and serves them as text and JSON.
//
// Sink is an event.Sink for the goroutines that serve requests: it uses atomic counters and
// takes no lock of its own. Catalogue describes every metric; docs/METRICS.md is generated
// from it.
package metrics

// Kind is the type of a metric.
type Kind string

// The kinds of metric.
const (
	// CounterKind is a value that only increases while the process runs.
	CounterKind Kind = "counter"
	// GaugeKind is a current value.
	GaugeKind Kind = "gauge"
	// HistogramKind is a distribution of recent values.
	HistogramKind Kind = "histogram"
)

// Definition describes a metric, or a family of metrics whose names differ in the part in
// angle brackets.
type Definition struct {
	// Name is the name, such as "requests.refused.<kind>".
	Name string
	Kind Kind
	// Unit is the unit of the value.
	Unit string
	// Meaning describes the metric for operators.
	Meaning string
}

// The names of the metrics, without the variable part.
const (
	nameReceived      = "requests.received"
	nameOutcome       = "requests.outcome."
	nameRefused       = "requests.refused."
	nameUnknown       = "requests.unknown."
	nameStatus        = "requests.status."
	nameAttemptFailed = "attempts.failed."
	nameAttempts      = "attempts.sent"
	nameRetriesSent   = "retries.sent"
	nameRetriesDenied = "retries.denied"
	nameLatency       = "latency.service."
	nameBucket        = "latency.upto."
	nameLogLines      = "log.dropped.lines"
	nameLogRequests   = "log.dropped.requests"
	nameRevision      = "config.revision"
	nameEvents        = "events.count."
	nameKept          = "events.ring.kept"
	nameSampledOut    = "events.ring.sampled_out"
	nameDroppedBusy   = "events.ring.dropped_busy"
	nameDroppedWatch  = "events.ring.dropped_watchers"
	nameWatchers      = "events.ring.watchers"
	nameGoroutines    = "process.goroutines"
	nameHeap          = "process.heap"
	nameAllocations   = "process.allocated.objects"
	nameAllocated     = "process.allocated.bytes"
	nameCollections   = "process.collections"
)

// Catalogue describes every metric.
var Catalogue = []Definition{
	{nameReceived, CounterKind, "requests", "Requests that matched a rule."},
	{nameOutcome + "<outcome>", CounterKind, "requests", "Finished requests by what is known of them: ran, not-run or unknown."},
	{nameRefused + "<kind>", CounterKind, "requests", "Requests that certainly did not run, by error kind (docs/ERRORS.md)."},
	{nameUnknown + "<kind>", CounterKind, "requests", "Requests that may or may not have run, by error kind."},
	{nameStatus + "<class>", CounterKind, "requests", "Upstreams' answers passed to callers, by class of status: 1xx to 5xx."},
	{nameAttempts, CounterKind, "attempts", "Choices of an upstream: first sends, retries and hedges."},
	{nameAttemptFailed + "<kind>", CounterKind, "attempts", "Sends to an upstream that failed, by error kind."},
	{nameRetriesSent, CounterKind, "requests", "Repeatable requests sent again."},
	{nameRetriesDenied, CounterKind, "requests", "Requests that a limit kept from being sent again."},
	{nameLatency + "<service>", HistogramKind, "microseconds", "Time from a request's arrival to the upstream's answer, of answered requests; over the newest 2048."},
	{nameBucket + "<bound>", CounterKind, "requests", "Answered requests by the time from arrival to the upstream's answer, in buckets that are the same on every host; each request is in one."},
	{nameLogLines, GaugeKind, "lines", "Log lines dropped: the reader of the output was too slow, or there were too many about no request."},
	{nameLogRequests, GaugeKind, "requests", "Requests whose lines were not written because of the bound on lines."},
	{nameRevision, GaugeKind, "revision", "Platform revision of the newest document taken into force, or the version of the configuration in force."},
	{nameEvents + "<event>", CounterKind, "events", "Decision events by name (docs/EVENTS.md)."},
	{nameKept, GaugeKind, "events", "Events written to the ring since the start."},
	{nameSampledOut, GaugeKind, "events", "Debug events over the ring's budget."},
	{nameDroppedBusy, GaugeKind, "events", "Events lost because the ring was busy."},
	{nameDroppedWatch, GaugeKind, "events", "Events that a slow watcher missed."},
	{nameWatchers, GaugeKind, "watchers", "Live watchers."},
	{nameGoroutines, GaugeKind, "goroutines", "Goroutines of the process."},
	{nameHeap, GaugeKind, "bytes", "Memory in the heap's live and unswept objects."},
	{nameAllocations, GaugeKind, "objects", "Heap objects allocated since the start."},
	{nameAllocated, GaugeKind, "bytes", "Heap memory allocated since the start."},
	{nameCollections, GaugeKind, "cycles", "Garbage collections since the start."},
}

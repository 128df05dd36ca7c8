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
	nameReceived       = "requests.received"
	nameOutcome        = "requests.outcome."
	nameRefused        = "requests.refused."
	nameUnknown        = "requests.unknown."
	nameStatus         = "requests.status."
	nameAttemptFailed  = "attempts.failed."
	nameAttempts       = "attempts.sent"
	nameRetriesSent    = "retries.sent"
	nameRetriesDenied  = "retries.denied"
	nameDeniedByLevel  = "extra.denied."
	nameNotesDropped   = "callers.notes.dropped"
	nameCrossed        = "crossings.requests."
	nameCrossedBytes   = "crossings.bytes."
	nameCrossedQueries = "crossings.queries"
	nameLatency        = "latency.service."
	nameBucket         = "latency.upto."
	nameLogLines       = "log.dropped.lines"
	nameLogRequests    = "log.dropped.requests"
	nameFreeShare      = "availability.free."
	nameRevision       = "config.revision"
	nameEvents         = "events.count."
	nameKept           = "events.ring.kept"
	nameSampledOut     = "events.ring.sampled_out"
	nameDroppedBusy    = "events.ring.dropped_busy"
	nameDroppedWatch   = "events.ring.dropped_watchers"
	nameWatchers       = "events.ring.watchers"
	nameGoroutines     = "process.goroutines"
	nameHeap           = "process.heap"
	nameAllocations    = "process.allocated.objects"
	nameAllocated      = "process.allocated.bytes"
	nameCollections    = "process.collections"
)

// Catalogue describes every metric.
var Catalogue = []Definition{
	{nameReceived, CounterKind, "requests", "Requests that matched a rule."},
	{nameOutcome + "<outcome>", CounterKind, "requests", "Finished requests by outcome: ran, not-run or unknown."},
	{nameRefused + "<kind>", CounterKind, "requests", "Requests that certainly did not run, by error kind (docs/ERRORS.md)."},
	{nameUnknown + "<kind>", CounterKind, "requests", "Requests that may or may not have run, by error kind."},
	{nameStatus + "<class>", CounterKind, "requests", "Responses of upstreams passed to callers, by status class: 1xx to 5xx."},
	{nameAttempts, CounterKind, "attempts", "Choices of an upstream: first attempts, retries and hedges."},
	{nameAttemptFailed + "<kind>", CounterKind, "attempts", "Attempts at an upstream that failed, by error kind."},
	{nameRetriesSent, CounterKind, "requests", "Repeatable requests sent again."},
	{nameRetriesDenied, CounterKind, "requests", "Requests that were not sent again because of a limit."},
	{nameCrossed + "<reason>", CounterKind, "attempts", "Attempts that went to another failure domain, by reason: evacuated (no upstream of the own domain accepts requests), gone (all upstreams of the own domain failed recently), or else retry, hedge, or no-room for first attempts. Policies that ignore failure domains are not counted."},
	{nameCrossedBytes + "<reason>", CounterKind, "bytes", "Bytes of the bodies of requests and responses that crossed failure domains, by reason, for attempts with a complete response."},
	{nameCrossedQueries, CounterKind, "queries", "Load queries to upstreams of other failure domains."},
	{nameDeniedByLevel + "<level>", CounterKind, "attempts", "Retries and hedges denied because the budget was kept for others, by rank (high, normal, low) and by waited (the caller came back as it was told), new or hedge."},
	{nameNotesDropped, GaugeKind, "messages", "Notes of refused callers, questions about them and answers that were not sent to another host because of their rate limit."},
	{nameLatency + "<service>", HistogramKind, "microseconds", "Time from a request's arrival to the upstream's response, of the newest 2048 answered requests."},
	{nameBucket + "<bound>", CounterKind, "requests", "Answered requests by the time from arrival to the upstream's response, in buckets that are the same on every host; each request counts in one bucket."},
	{nameLogLines, GaugeKind, "lines", "Log lines dropped, because the reader of the output was too slow or because lines that concern no request exceeded their rate limit."},
	{nameLogRequests, GaugeKind, "requests", "Requests whose log lines were dropped by the rate limit on lines."},
	{nameFreeShare + "<service>.<domain>", GaugeKind, "percent", "Estimated share of load queries in a failure domain that find an upstream of the service that is not full and fast enough, from this host's queries and the reports of other hosts. 70 without recent ones. Only for services whose upstreams are queried for their load and are in several failure domains."},
	{nameRevision, GaugeKind, "revision", "Platform revision of the newest document that took effect, or the version of the current configuration."},
	{nameEvents + "<event>", CounterKind, "events", "Decision events by name (docs/EVENTS.md)."},
	{nameKept, GaugeKind, "events", "Events written to the ring since the process started."},
	{nameSampledOut, GaugeKind, "events", "Debug events dropped because they exceeded the ring's budget."},
	{nameDroppedBusy, GaugeKind, "events", "Events lost because the ring was busy."},
	{nameDroppedWatch, GaugeKind, "events", "Events that a slow watcher missed."},
	{nameWatchers, GaugeKind, "watchers", "Connected watchers."},
	{nameGoroutines, GaugeKind, "goroutines", "Goroutines of the process."},
	{nameHeap, GaugeKind, "bytes", "Memory of live and not yet swept heap objects."},
	{nameAllocations, GaugeKind, "objects", "Heap objects allocated since the process started."},
	{nameAllocated, GaugeKind, "bytes", "Heap memory allocated since the process started."},
	{nameCollections, GaugeKind, "cycles", "Garbage collections since the process started."},
}

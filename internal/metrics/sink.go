package metrics

import (
	"math"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/retry"
)

// sampleSize is the number of newest latencies kept per service.
const sampleSize = 2048

// numStatusClasses is one more than the highest class of HTTP status, 5xx.
const numStatusClasses = 6

// Sink implements event.Sink. Its counters are registered at the start, so that a metric
// without events reads 0 instead of being absent.
type Sink struct {
	registry gometrics.Registry

	received       gometrics.Counter
	attempts       gometrics.Counter
	retriesSent    gometrics.Counter
	retriesDenied  gometrics.Counter
	deniedByLevel  map[string]gometrics.Counter
	revision       gometrics.Gauge
	outcomes       [errkind.Unknown + 1]gometrics.Counter
	statusClasses  [numStatusClasses]gometrics.Counter
	refused        map[string]gometrics.Counter
	unknown        map[string]gometrics.Counter
	failed         map[string]gometrics.Counter
	events         map[event.Code]gometrics.Counter
	buckets        []gometrics.Counter
	crossed        map[string]crossingCounters
	crossedQueries gometrics.Counter
	latencies      sync.Map // service name to gometrics.Histogram
}

// New returns a sink with its own registry.
func New() *Sink {
	r := gometrics.NewRegistry()
	s := &Sink{
		registry:      r,
		received:      gometrics.NewRegisteredCounter(nameReceived, r),
		attempts:      gometrics.NewRegisteredCounter(nameAttempts, r),
		retriesSent:   gometrics.NewRegisteredCounter(nameRetriesSent, r),
		retriesDenied: gometrics.NewRegisteredCounter(nameRetriesDenied, r),
		revision:      gometrics.NewRegisteredGauge(nameRevision, r),
		refused:       countersByKind(r, nameRefused),
		unknown:       countersByKind(r, nameUnknown),
		failed:        countersByKind(r, nameAttemptFailed),
		deniedByLevel: make(map[string]gometrics.Counter),
		events:        make(map[event.Code]gometrics.Counter, len(event.Catalogue)),
	}
	for o := range s.outcomes {
		s.outcomes[o] = gometrics.NewRegisteredCounter(nameOutcome+errkind.Outcome(o).String(), r)
	}
	for class := 1; class < numStatusClasses; class++ {
		s.statusClasses[class] = gometrics.NewRegisteredCounter(nameStatus+strconv.Itoa(class)+"xx", r)
	}
	for code, entry := range event.Catalogue {
		s.events[code] = gometrics.NewRegisteredCounter(nameEvents+entry.Name, r)
	}
	for _, reason := range retry.LevelReasons() {
		s.deniedByLevel[string(reason)] = gometrics.NewRegisteredCounter(nameDeniedByLevel+string(reason), r)
	}
	for _, bound := range bucketBounds {
		s.buckets = append(s.buckets, gometrics.NewRegisteredCounter(nameBucket+strconv.FormatInt(bound.Milliseconds(), 10)+"ms", r))
	}
	s.buckets = append(s.buckets, gometrics.NewRegisteredCounter(nameBucket+"more", r))
	s.registerCrossings()
	registerProcess(r)
	return s
}

func countersByKind(r gometrics.Registry, prefix string) map[string]gometrics.Counter {
	counters := make(map[string]gometrics.Counter)
	for _, k := range errkind.All() {
		counters[k.String()] = gometrics.NewRegisteredCounter(prefix+k.String(), r)
	}
	return counters
}

// Registry returns the registry, so that other packages can register metrics. These must
// be in Catalogue too.
func (s *Sink) Registry() gometrics.Registry { return s.registry }

// AddRing registers the statistics of an event ring.
func (s *Sink) AddRing(stats func() events.Stats) {
	gauge := func(name string, value func(events.Stats) int64) {
		gometrics.NewRegisteredFunctionalGauge(name, s.registry, func() int64 { return value(stats()) })
	}
	gauge(nameKept, func(st events.Stats) int64 { return int64(st.Kept) })
	gauge(nameSampledOut, func(st events.Stats) int64 { return int64(st.SampledOut) })
	gauge(nameDroppedBusy, func(st events.Stats) int64 { return int64(st.DroppedBusy) })
	gauge(nameDroppedWatch, func(st events.Stats) int64 { return int64(st.DroppedWatchers) })
	gauge(nameWatchers, func(st events.Stats) int64 { return int64(st.Watchers) })
}

// Emit implements event.Sink.
func (s *Sink) Emit(e event.Event) {
	increase(s.events[e.Code])
	switch e.Code {
	case event.RequestReceived:
		s.received.Inc(1)
	case event.UpstreamChosen:
		s.attempts.Inc(1)
	case event.RequestAnswered:
		s.answered(&e)
	case event.RequestRefused:
		s.outcomes[errkind.NotRun].Inc(1)
		increase(s.refused[e.Reason])
	case event.RequestUnknown:
		s.outcomes[errkind.Unknown].Inc(1)
		increase(s.unknown[e.Reason])
	case event.AttemptFailed:
		increase(s.failed[e.Reason])
	case event.ConfigurationInForce:
		s.revision.Update(e.Value)
	case event.RetrySent:
		s.retriesSent.Inc(1)
	case event.RetryDenied:
		s.retriesDenied.Inc(1)
		increase(s.deniedByLevel[e.Reason])
	case event.HedgeDenied:
		increase(s.deniedByLevel[e.Reason])
	case event.ConfigApplied:
		s.revision.Update(max(e.Value, s.revision.Value()))
	}
}

// increase increments c. It does nothing if c is nil, which is the counter of an unknown
// error kind or event code.
func increase(c gometrics.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

func (s *Sink) answered(e *event.Event) {
	s.outcomes[errkind.Ran].Inc(1)
	if class := e.Value / 100; class > 0 && class < numStatusClasses {
		s.statusClasses[class].Inc(1)
	}
	s.latency(e.Service).Update(e.Elapsed.Microseconds())
	s.buckets[bucketOf(e.Elapsed)].Inc(1)
}

// bucketBounds are the upper bounds of the latency buckets. They are the same on every
// host, so that the counts of several hosts can be added up.
var bucketBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

func bucketOf(d time.Duration) int {
	index, _ := slices.BinarySearch(bucketBounds, d)
	return index
}

// AddLog registers what the log dropped: lines, because the reader of the output was too
// slow or because of their rate limit, and requests, because of the rate limit on lines.
func (s *Sink) AddLog(lines, requests func() int64) {
	gometrics.NewRegisteredFunctionalGauge(nameLogLines, s.registry, lines)
	gometrics.NewRegisteredFunctionalGauge(nameLogRequests, s.registry, requests)
}

// SetFreeShare sets the share, from 0 to 1, of load queries in a failure domain that find an
// upstream of a service that is not full and fast enough.
func (s *Sink) SetFreeShare(service, domain string, share float64) {
	gometrics.GetOrRegisterGauge(freeShareName(service, domain), s.registry).Update(int64(math.Round(100 * share)))
}

// RemoveFreeShare removes the metric of a failure domain without upstreams of the service.
func (s *Sink) RemoveFreeShare(service, domain string) {
	s.registry.Unregister(freeShareName(service, domain))
}

func freeShareName(service, domain string) string { return nameFreeShare + service + "." + domain }

// AddNotes registers the number of messages about refused callers that were not sent.
func (s *Sink) AddNotes(dropped func() int64) {
	gometrics.NewRegisteredFunctionalGauge(nameNotesDropped, s.registry, dropped)
}

// latency returns the latency histogram of a service. Service names come from published
// documents, so the number of histograms is bounded.
func (s *Sink) latency(service string) gometrics.Histogram {
	if h, ok := s.latencies.Load(service); ok {
		return h.(gometrics.Histogram)
	}
	h, loaded := s.latencies.LoadOrStore(service, gometrics.NewHistogram(newSample()))
	if !loaded {
		_ = s.registry.Register(nameLatency+service, h)
	}
	return h.(gometrics.Histogram)
}

func newSample() gometrics.Sample { return new(window) }

// registerProcess registers the metrics of the Go runtime.
func registerProcess(r gometrics.Registry) {
	register := func(name, source string) {
		gometrics.NewRegisteredFunctionalGauge(name, r, func() int64 { return readRuntime(source) })
	}
	register(nameGoroutines, "/sched/goroutines:goroutines")
	register(nameHeap, "/memory/classes/heap/objects:bytes")
	register(nameAllocations, "/gc/heap/allocs:objects")
	register(nameAllocated, "/gc/heap/allocs:bytes")
	register(nameCollections, "/gc/cycles/total:gc-cycles")
}

func readRuntime(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

package proxy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// skipUnlessMeasuring skips a measurement unless it is run by make measure-overload.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement: run make measure-overload")
	}
}

// shape is the number of entry hosts and upstreams of a run, and its duration.
type shape struct {
	hosts, upstreams int
	span             time.Duration // virtual time
}

var (
	single = shape{1, 1, 10 * time.Second}
	// fleet is the catalogue service behind 15 entry hosts.
	fleet = shape{15, 10, 8 * time.Second}
)

// capacity returns the requests per second that the upstreams can serve.
func (s shape) capacity() float64 {
	return float64(s.upstreams) * testSlots / testService.Seconds()
}

const (
	testSlots   = 3
	testService = 5 * time.Millisecond
	highShare   = 0.4 // of capacity, at every load
	highTimeout = 250 * time.Millisecond
	lowTimeout  = 500 * time.Millisecond
)

// slottedGroup is a Sender with a slottedUpstream for each address.
type slottedGroup map[string]*slottedUpstream

func newSlottedGroup(n int, seed uint64, noReports bool) slottedGroup {
	g := make(slottedGroup, n)
	for i := range n {
		u := newSlottedUpstream(seed + uint64(i)<<32)
		u.noReports = noReports
		g["up-"+strconv.Itoa(i+1)] = u
	}
	return g
}

func (g slottedGroup) Do(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	return g[address].Do(ctx, address, req)
}

// slottedUpstream serves testSlots requests concurrently, in order of arrival, with
// log-normal service times. A cancelled request frees its slot at once.
type slottedUpstream struct {
	slots     chan struct{}
	active    atomic.Int64
	noReports bool // sends no load report
	mu        sync.Mutex
	random    *rand.Rand
}

func newSlottedUpstream(seed uint64) *slottedUpstream {
	return &slottedUpstream{slots: make(chan struct{}, testSlots), random: rand.New(rand.NewPCG(seed, 11))}
}

func (u *slottedUpstream) Do(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
	u.active.Add(1)
	defer u.active.Add(-1)
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
	}
	defer func() { <-u.slots }()
	select {
	case <-time.After(u.serviceTime()):
		return u.report(ok()), nil
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
	}
}

func (u *slottedUpstream) report(resp *httpwire.Response) *httpwire.Response {
	if !u.noReports {
		resp.Header[HeaderLoad] = []string{strconv.FormatInt(u.active.Load(), 10)}
	}
	return resp
}

func (u *slottedUpstream) serviceTime() time.Duration {
	const sigma = 0.6
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(float64(testService) * math.Exp(u.random.NormFloat64()*sigma-sigma*sigma/2))
}

// control selects the overload controls of a run.
type control struct {
	name      string
	limits    bool
	noReports bool // upstreams send no load reports
	groups    groupsFunc
}

var (
	uncontrolled = control{"none", false, false, leastOutstanding}
	limited      = control{"limit and queue", true, false, leastOutstanding}
	lateBound    = control{"limit, queue, late binding", true, false, lateBinding}
	unreported   = control{"limit and queue, no reports", true, true, leastOutstanding}
)

// tally collects the results of the callers of one priority.
type tally struct {
	good      int
	latencies []time.Duration
	shedAfter []time.Duration // time until a request was shed
	late      int             // deadlines that passed after the request was sent
	retryMs   []int
}

// outcome holds a run's tallies by priority.
type outcome struct {
	high, low tally
}

// goodput returns the successful responses as a fraction of the capacity.
func (o *outcome) goodput(s shape) float64 {
	return float64(o.high.good+o.low.good) / s.span.Seconds() / s.capacity()
}

func p99(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*99/100]
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}

// simulate offers load times the capacity for on.span of virtual time. The rate of
// high-priority requests is the same at every load; all other requests have low priority.
func simulate(t *testing.T, on shape, load float64, c control, seed uint64) *outcome {
	out := &outcome{}
	synctest.Test(t, func(t *testing.T) {
		sender := newSlottedGroup(on.upstreams, seed, c.noReports)
		var hosts []*Proxy
		for i := range on.hosts {
			hosts = append(hosts, c.host(on, sender, seed+uint64(i)))
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		random := rand.New(rand.NewPCG(seed, 13))
		end := time.Now().Add(on.span)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / (load * on.capacity()) * float64(time.Second)))
			method, to := "HEAD", &out.low
			if random.Float64() < highShare/load {
				method, to = "GET", &out.high
			}
			p := hosts[random.IntN(len(hosts))]
			wg.Go(func() { call(t, p, method, end, to, &mu) })
		}
		wg.Wait()
		synctest.Wait()
		for _, p := range hosts {
			checkDrained(t, p)
		}
	})
	return out
}

// checkDrained checks that no request is queued and that all permits were released.
func checkDrained(t *testing.T, p *Proxy) {
	for _, g := range p.state.Load().groups {
		if _, inFlight := g.limiter.Limit(); inFlight != 0 || g.waiting.Load() != 0 {
			t.Errorf("%d in flight, %d queued after the last response", inFlight, g.waiting.Load())
		}
	}
}

// host returns an entry host with the controls that c selects.
func (c control) host(on shape, sender Sender, seed uint64) *Proxy {
	high := config.Rule{Name: "high", Methods: []string{"GET"}, Repeat: config.Repeatable, Priority: config.PriorityHigh, Deadline: config.Duration(highTimeout)}
	low := config.Rule{Name: "low", Methods: []string{"HEAD"}, Repeat: config.Repeatable, Priority: config.PriorityLow, Deadline: config.Duration(lowTimeout)}
	p := newProxy(service(on.upstreams, high, low), c.groups, sender, event.Discard{})
	p.random = seeded(seed)
	p.SetEntryHosts(on.hosts)
	if !c.limits {
		p.newLimiter = func(int) *limit.Limiter { return nil }
		p.state.Store(p.nextSnapshot(nil, p.state.Load().table))
	}
	return p
}

// call sends one request and records its result. Requests that end after the run are not
// counted, so that queued work does not add to the goodput.
func call(t *testing.T, p *Proxy, method string, end time.Time, to *tally, mu *sync.Mutex) {
	req := request(method)
	resp := p.Serve(t.Context(), req)
	took := time.Since(req.Received)
	if time.Now().After(end) {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case resp.Status == http.StatusOK:
		to.good++
		to.latencies = append(to.latencies, took)
	case resp.Header.Get(HeaderError) == errkind.Overloaded.String():
		ms, err := strconv.Atoi(resp.Header.Get(HeaderRetryAfterMs))
		if err != nil {
			t.Errorf("Retry-After: %v", err)
		}
		to.retryMs = append(to.retryMs, ms)
		to.shedAfter = append(to.shedAfter, took)
	default:
		to.late++
	}
}

// TestSheddingKeepsGoodput offers twice the capacity of one upstream to one entry host.
// Goodput must stay near the capacity, and only low-priority requests may be shed.
func TestSheddingKeepsGoodput(t *testing.T) {
	is := is.New(t)
	for _, c := range []control{limited, lateBound} {
		out := simulate(t, single, 2, c, 1)
		calm := simulate(t, single, 0.8, c, 1)
		is.True(out.goodput(single) >= 0.95)                                    // of capacity
		is.Equal(len(out.high.shedAfter)+out.high.late, 0)                      // no high-priority request is shed
		is.True(p99(out.high.latencies) <= calm.high.p99()+10*time.Millisecond) // two service times
		is.True(len(out.low.shedAfter) > 1000)
		for _, took := range out.low.shedAfter {
			is.True(took <= lowTimeout/2+recheckInterval) // not held until near the deadline
		}
	}
	is.True(simulate(t, single, 2, uncontrolled, 1).goodput(single) < 0.95)
}

func (t *tally) p99() time.Duration { return p99(t.latencies) }

// TestFullQueueRefusesAtOnce checks that a request is refused at once if the only upstream
// and the queue are full.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		block := senderFunc(func(ctx context.Context, address string, _ *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			<-ctx.Done()
			return nil, errkind.Wrap(errkind.DeadlineAfterSend, ctx.Err(), address)
		})
		s := service(1, lookup())
		s.Groups[0].Queue.MaxWaiting = 2
		events := &recorder{}
		p := newProxy(s, lateBinding, block, events)
		var wg sync.WaitGroup
		for range limit.MinFloor + 2 {
			wg.Go(func() { p.Serve(t.Context(), request("GET")) })
		}
		synctest.Wait()
		start := time.Now()
		resp := p.Serve(t.Context(), request("GET"))
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
		is.Equal(resp.Header.Get(HeaderNotRun), "1")
		is.True(resp.Header.Get(HeaderRetryAfter) != "")
		is.Equal(events.reason(event.RequestShed), "queue-full")
		wg.Wait()
		g := p.state.Load().groups[groupName{"test", "main"}]
		is.Equal(g.waiting.Load(), int64(0))
		_, inFlight := g.limiter.Limit()
		is.Equal(inFlight, 0)
	})
}

// TestMeasureOverload prints the overload table of make measure-overload.
func TestMeasureOverload(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, on := range []shape{single, fleet} {
		printTable(t, on)
	}
}

func printTable(t *testing.T, on shape) {
	fmt.Printf("%d entry hosts, %d upstreams of %d slots, mean %s, log-normal; high %.0f %% of capacity at every load; %s virtual; mean of 3 seeds (spread of goodput)\n",
		on.hosts, on.upstreams, testSlots, testService, highShare*percent, on.span)
	fmt.Printf("%-28s %5s %16s %9s %9s %9s %9s %12s %9s %9s\n", "control", "load", "goodput", "high p99", "high lost", "low p99", "low lost", "give-up p50", "p99", "back p50")
	controls := []control{uncontrolled, limited, unreported}
	if on == single {
		controls = append(controls, lateBound) // its picker knows the requests of one host only
	}
	for _, c := range controls {
		for _, load := range []float64{0.8, 1, 2, 4} {
			printRow(t, on, c, load)
		}
	}
}

// TestFleetKeepsGoodput offers twice the capacity to 15 entry hosts that share 10 upstreams.
func TestFleetKeepsGoodput(t *testing.T) {
	is := is.New(t)
	short := shape{fleet.hosts, fleet.upstreams, 3 * time.Second}
	out := simulate(t, short, 2, limited, 1)
	is.True(out.goodput(short) >= 0.95)
	is.True(out.high.lost() < 0.1) // percent
}

func printRow(t *testing.T, on shape, c control, load float64) {
	const seeds = 3
	var all outcome
	lowest, highest, sum := math.Inf(1), 0.0, 0.0
	for seed := range uint64(seeds) {
		out := simulate(t, on, load, c, seed+1)
		lowest, highest = min(lowest, out.goodput(on)), max(highest, out.goodput(on))
		sum += out.goodput(on)
		all.high.add(&out.high)
		all.low.add(&out.low)
	}
	slices.Sort(all.low.retryMs)
	back := 0
	if n := len(all.low.retryMs); n > 0 {
		back = all.low.retryMs[n/2]
	}
	fmt.Printf("%-28s %4.1fx %6.1f%% (%4.1f%%) %9s %8.1f%% %9s %8.1f%% %12s %9s %7dms\n", c.name, load,
		sum/seeds*percent, (highest-lowest)*percent,
		p99(all.high.latencies).Round(100*time.Microsecond), all.high.lost(),
		p99(all.low.latencies).Round(100*time.Microsecond), all.low.lost(),
		median(all.low.shedAfter).Round(100*time.Microsecond), p99(all.low.shedAfter).Round(100*time.Microsecond), back)
}

func (t *tally) add(o *tally) {
	t.good += o.good
	t.late += o.late
	t.latencies = append(t.latencies, o.latencies...)
	t.shedAfter = append(t.shedAfter, o.shedAfter...)
	t.retryMs = append(t.retryMs, o.retryMs...)
}

// lost returns the percentage of requests without a successful response.
func (t *tally) lost() float64 {
	bad := len(t.shedAfter) + t.late
	return percent * float64(bad) / float64(max(bad+t.good, 1))
}

// TestMeasureNeighbours prints the rows of scripts/overload-neighbours.sh.
func TestMeasureNeighbours(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, on := range []shape{single, fleet} {
		for _, c := range []control{limited, unreported} {
			out := simulate(t, on, 2, c, 1)
			fmt.Printf("%2d hosts, %-27s goodput %5.1f%%, high p99 %7s, lost %4.1f%%, low p99 %7s, give-up p99 %7s\n",
				on.hosts, c.name, out.goodput(on)*percent, out.high.p99().Round(100*time.Microsecond), out.high.lost(),
				out.low.p99().Round(100*time.Microsecond), p99(out.low.shedAfter).Round(100*time.Microsecond))
		}
	}
}

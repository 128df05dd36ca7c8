// Package loadgen generates bounded load for loopback addresses, most of it
// open-loop, and records latencies and outcomes.
package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Target is one kind of request in the request mix.
type Target struct {
	// Name labels the results.
	Name string
	// Method is the HTTP method.
	Method string
	// URL is the absolute URL; its host must be a loopback address.
	URL string
	// Weight is the share of requests for this target, relative to the sum of
	// all weights.
	Weight int
	// Action gives each request a unique action ID in the X-Action header.
	Action bool
}

// Config configures a run and bounds its load.
type Config struct {
	// Rate is the arrival rate over all targets, in requests per second.
	Rate float64
	// Duration is the time after which no more requests are sent.
	Duration time.Duration
	// MaxRequests is the number of requests after which no more are sent.
	MaxRequests int
	// MaxInFlight bounds the concurrent requests. Arrivals above it are not sent
	// and count as skipped.
	MaxInFlight int
	// Seed makes the arrival times and the choice of targets reproducible.
	Seed uint64
	// Targets is the request mix.
	Targets []Target
	// RecordLatency decides whether the latency of a request is recorded, by the
	// scheduled send time relative to the start of the run. If nil, all are
	// recorded.
	RecordLatency func(due time.Duration) bool
}

const (
	// maxLatencyMicros and significantFigures are the range and the precision of
	// the latency histograms.
	maxLatencyMicros   = 60_000_000
	significantFigures = 3
	// clientTimeout bounds one request, its response included.
	clientTimeout = 10 * time.Second
)

// Response headers.
const (
	headerOutcome = "Dapplespindle-Outcome"
	headerTicket  = "Dapplespindle-Ticket"
)

// Stats holds the results of one target or path.
type Stats struct {
	// Latency is measured from the scheduled send time, in microseconds. It
	// includes delays within the load generator.
	Latency *hdrhistogram.Histogram
	// SendLatency is measured from the actual send time, in microseconds.
	SendLatency *hdrhistogram.Histogram
	// Outcomes counts responses by their Dapplespindle-Outcome header, or "none"
	// if it is absent.
	Outcomes map[string]int
	// Errors counts requests without a complete response.
	Errors int
}

// Merge adds the results of o to s.
func (s *Stats) Merge(o *Stats) {
	s.Latency.Merge(o.Latency)
	s.SendLatency.Merge(o.SendLatency)
	for outcome, n := range o.Outcomes {
		s.Outcomes[outcome] += n
	}
	s.Errors += o.Errors
}

// Report is the result of a run.
type Report struct {
	// ByTarget holds the statistics of each target, in the order of
	// Config.Targets.
	ByTarget []*Stats
	// Skipped counts arrivals that were not sent because MaxInFlight requests
	// were in flight.
	Skipped int
	// Sent counts the requests that were sent.
	Sent int
	// Elapsed is the time until the last response.
	Elapsed time.Duration
}

// Validate returns an error if the load is unbounded or a target is not a
// loopback address.
func (c *Config) Validate() error {
	if c.Rate <= 0 || c.Duration <= 0 || c.MaxRequests <= 0 || c.MaxInFlight <= 0 {
		return errors.New("rate, duration, max-requests and max-in-flight must be positive")
	}
	if len(c.Targets) == 0 {
		return errors.New("no targets")
	}
	for _, t := range c.Targets {
		if err := checkLoopback(t.URL); err != nil {
			return err
		}
	}
	return nil
}

func checkLoopback(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return errors.Wrap(err, "target")
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return errors.Newf("target %s is not a loopback address", raw)
	}
	return nil
}

// generator holds the state of one run.
type generator struct {
	conf        Config
	client      *http.Client
	rng         *rand.Rand
	totalWeight int
	start       time.Time
	mu          sync.Mutex
	report      *Report
}

// Run generates the configured load and returns its results.
func Run(ctx context.Context, conf Config) (*Report, error) {
	if err := conf.Validate(); err != nil {
		return nil, err
	}
	g := &generator{
		conf: conf,
		client: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{
			MaxIdleConns:        conf.MaxInFlight,
			MaxIdleConnsPerHost: conf.MaxInFlight,
		}},
		rng:    rand.New(rand.NewPCG(conf.Seed, conf.Seed)),
		report: &Report{},
	}
	for _, t := range conf.Targets {
		g.totalWeight += t.Weight
		g.report.ByTarget = append(g.report.ByTarget, &Stats{
			Latency:     newLatencyHistogram(),
			SendLatency: newLatencyHistogram(),
			Outcomes:    make(map[string]int),
		})
	}
	g.run(ctx)
	return g.report, nil
}

func (g *generator) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.conf.Duration)
	defer cancel()
	g.start = time.Now()
	next := g.start
	inFlight := make(chan struct{}, g.conf.MaxInFlight)
	var wg sync.WaitGroup
	for g.report.Sent < g.conf.MaxRequests {
		next = next.Add(time.Duration(g.rng.ExpFloat64() / g.conf.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		target := g.pickTarget()
		select {
		case inFlight <- struct{}{}:
		default:
			g.report.Skipped++
			continue
		}
		g.report.Sent++
		n := g.report.Sent
		scheduled := next
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.send(target, n, scheduled)
		})
	}
	wg.Wait()
	g.report.Elapsed = time.Since(g.start)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generator) pickTarget() int {
	n := g.rng.IntN(g.totalWeight)
	for i, t := range g.conf.Targets {
		if n -= t.Weight; n < 0 {
			return i
		}
	}
	return len(g.conf.Targets) - 1
}

// send performs one request of a target. Latency is measured from the scheduled
// time, so that a stall of the system under test is not hidden by requests that
// are sent late (coordinated omission).
func (g *generator) send(target, n int, scheduled time.Time) {
	t := g.conf.Targets[target]
	action := ""
	if t.Action {
		action = fmt.Sprintf("action-%d-%d", g.conf.Seed, n)
	}
	sent := time.Now()
	resp, err := g.roundTrip(t, action, "")
	if err == nil && resp.StatusCode == http.StatusPreconditionRequired {
		resp, err = g.roundTrip(t, action, resp.Header.Get(headerTicket))
	}
	if err != nil {
		g.record(target, scheduled, sent, "", err)
		return
	}
	g.record(target, scheduled, sent, resp.Header.Get(headerOutcome), nil)
}

// roundTrip sends one request and reads the whole response. A non-empty ticket,
// which the entry host issues for an action, is sent as the Idempotency-Key.
func (g *generator) roundTrip(t Target, action, ticket string) (*http.Response, error) {
	req, err := http.NewRequest(t.Method, t.URL, nil)
	if err != nil {
		return nil, err
	}
	if action != "" {
		req.Header.Set("X-Action", action)
	}
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp, err
}

func (g *generator) record(target int, scheduled, sent time.Time, outcome string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.report.ByTarget[target]
	if err != nil {
		s.Errors++
		return
	}
	if outcome == "" {
		outcome = "none"
	}
	s.Outcomes[outcome]++
	if g.conf.RecordLatency != nil && !g.conf.RecordLatency(scheduled.Sub(g.start)) {
		return
	}
	now := time.Now()
	_ = s.Latency.RecordValue(now.Sub(scheduled).Microseconds())
	_ = s.SendLatency.RecordValue(now.Sub(sent).Microseconds())
}

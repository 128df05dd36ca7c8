// Package loadgen sends bounded, open-loop load to loopback addresses and
// records latency and outcomes.
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

// Target is one kind of request in the mix.
type Target struct {
	// Name labels the result.
	Name string
	// Method is the HTTP method.
	Method string
	// URL is the absolute URL; its host must be a loopback address.
	URL string
	// Weight is the share of the mix.
	Weight int
	// Action is true when each request carries its own action id.
	Action bool
}

// Config bounds a run.
type Config struct {
	// Rate is requests per second over all targets.
	Rate float64
	// Duration bounds the run in time.
	Duration time.Duration
	// MaxRequests bounds the run in number.
	MaxRequests int
	// MaxInFlight bounds concurrency; arrivals beyond it are counted as skipped.
	MaxInFlight int
	// Seed makes the arrivals reproducible.
	Seed uint64
	// Targets is the mix.
	Targets []Target
	// Counts says which latencies are kept, by the time since the start at
	// which the request was due; nil keeps all.
	Counts func(due time.Duration) bool
}

// Highest latency recorded and its precision.
const (
	maxLatencyMicros = 60_000_000
	significantDigit = 3
	clientTimeout    = 10 * time.Second
)

// Headers of answers.
const (
	headerOutcome = "Dapplespindle-Outcome"
	headerTicket  = "Dapplespindle-Ticket"
)

// Stats holds what was seen for one target.
type Stats struct {
	// Latency is measured from the time a request was due, in microseconds. It
	// includes the generator's own delay.
	Latency *hdrhistogram.Histogram
	// FromSend is measured from the time a request was sent, in microseconds.
	FromSend *hdrhistogram.Histogram
	// Outcomes counts answers by Dapplespindle-Outcome; "none" without it.
	Outcomes map[string]int
	// Errors counts requests without an answer.
	Errors int
}

// Merge adds what o saw to s.
func (s *Stats) Merge(o *Stats) {
	s.Latency.Merge(o.Latency)
	s.FromSend.Merge(o.FromSend)
	for outcome, n := range o.Outcomes {
		s.Outcomes[outcome] += n
	}
	s.Errors += o.Errors
}

// Report is the result of a run.
type Report struct {
	// ByTarget holds the statistics of each target, in the order of the mix.
	ByTarget []*Stats
	// Skipped counts arrivals beyond MaxInFlight.
	Skipped int
	// Sent counts requests sent.
	Sent int
	// Elapsed is the time of the run.
	Elapsed time.Duration
}

// Validate reports a configuration that is unbounded or leaves loopback.
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

// generator is one run.
type generator struct {
	conf   Config
	client *http.Client
	rng    *rand.Rand
	total  int
	start  time.Time
	mu     sync.Mutex
	report *Report
}

// Run sends the load and returns what was seen.
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
		g.total += t.Weight
		g.report.ByTarget = append(g.report.ByTarget, &Stats{
			Latency:  newLatencies(),
			FromSend: newLatencies(),
			Outcomes: make(map[string]int),
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
	slots := make(chan struct{}, g.conf.MaxInFlight)
	var wg sync.WaitGroup
	for g.report.Sent < g.conf.MaxRequests {
		next = next.Add(time.Duration(g.rng.ExpFloat64() / g.conf.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		target := g.choose()
		select {
		case slots <- struct{}{}:
		default:
			g.report.Skipped++
			continue
		}
		g.report.Sent++
		n := g.report.Sent
		due := next
		wg.Go(func() {
			defer func() { <-slots }()
			g.send(target, n, due)
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

func (g *generator) choose() int {
	n := g.rng.IntN(g.total)
	for i, t := range g.conf.Targets {
		if n -= t.Weight; n < 0 {
			return i
		}
	}
	return len(g.conf.Targets) - 1
}

// send measures from the time the request was due, so that a stalled system
// does not hide its own delay.
func (g *generator) send(target, n int, due time.Time) {
	t := g.conf.Targets[target]
	action := ""
	if t.Action {
		action = fmt.Sprintf("action-%d-%d", g.conf.Seed, n)
	}
	sent := time.Now()
	resp, err := g.ask(t, action, "")
	if err == nil && resp.StatusCode == http.StatusPreconditionRequired {
		resp, err = g.ask(t, action, resp.Header.Get(headerTicket))
	}
	if err != nil {
		g.record(target, due, sent, "", err)
		return
	}
	g.record(target, due, sent, resp.Header.Get(headerOutcome), nil)
}

// ask sends one request and reads its answer. An action carries the ticket that
// it was offered, if any.
func (g *generator) ask(t Target, action, ticket string) (*http.Response, error) {
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

func (g *generator) record(target int, due, sent time.Time, outcome string, err error) {
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
	if g.conf.Counts != nil && !g.conf.Counts(due.Sub(g.start)) {
		return
	}
	now := time.Now()
	_ = s.Latency.RecordValue(now.Sub(due).Microseconds())
	_ = s.FromSend.RecordValue(now.Sub(sent).Microseconds())
}

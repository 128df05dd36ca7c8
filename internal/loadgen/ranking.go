package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Slowdowns during a ranking match the "slowdown" fault of internal/lab: in
// every period one upstream becomes slow, and only requests scheduled within the
// window after that are measured.
const (
	slowdownPeriod   = time.Second
	slowdownDuration = 300 * time.Millisecond
	countedWindow    = 100 * time.Millisecond
	slowdownFactor   = 10
)

// RankingConfig configures a comparison of services that differ only in their
// balancer policy and share the same entry hosts and upstreams.
type RankingConfig struct {
	// EntryURLs and AdminURLs are the base URLs of the entry hosts for requests
	// and for metrics.
	EntryURLs, AdminURLs []string
	// UpstreamURLs are the base URLs of the stand-in upstreams.
	UpstreamURLs []string
	// Services are the services to compare. The path prefix of a service is its
	// name.
	Services []string
	// Rounds is how often each service is measured in each condition.
	Rounds int
	// WarmUp is the time before each measurement in which requests are sent but
	// not measured. Duration is the time of the measurement.
	WarmUp, Duration time.Duration
	// Rate is the arrival rate in requests per second.
	Rate float64
	// MaxInFlight bounds the concurrent requests.
	MaxInFlight int
	// Seed makes the arrival times and the choice of slow upstreams reproducible.
	Seed uint64
}

// RankingResult holds the results of one service in one condition, over all
// rounds.
type RankingResult struct {
	// Service is the name of the service.
	Service string
	// Slowdowns reports whether upstreams were slowed down.
	Slowdowns bool
	// Latency of the measured requests, from their scheduled send time, in
	// microseconds.
	Latency *hdrhistogram.Histogram
	// Rounds holds Latency separately for each round.
	Rounds []*hdrhistogram.Histogram
	// Sent, Failed and Skipped count requests including the warm-up: those sent,
	// those that failed or did not run, and those not sent because of
	// MaxInFlight.
	Sent, Failed, Skipped int
	// Attempts and Probes count what the entry hosts sent to upstreams, including
	// the warm-up.
	Attempts, Probes int64
}

// Rank measures all services in each round, first with steady upstreams and
// then with slowdowns.
func Rank(ctx context.Context, conf RankingConfig) ([]RankingResult, error) {
	var out []RankingResult
	for _, slow := range []bool{false, true} {
		for _, s := range conf.Services {
			out = append(out, RankingResult{Service: s, Slowdowns: slow, Latency: newRankingHistogram()})
		}
	}
	for round := range conf.Rounds {
		for i := range out {
			if err := conf.measureService(ctx, &out[i], conf.Seed+uint64(round)); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func newRankingHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// measureService measures one service for one round. All services of a round get the
// same arrivals and slowdowns.
func (c RankingConfig) measureService(ctx context.Context, r *RankingResult, seed uint64) error {
	run := Config{
		Rate: c.Rate, Duration: c.WarmUp + c.Duration, MaxRequests: int(2*c.Rate*(c.WarmUp+c.Duration).Seconds()) + 1,
		MaxInFlight: c.MaxInFlight, Seed: seed,
		RecordLatency: func(scheduled time.Duration) bool {
			since := scheduled - c.WarmUp
			return since >= 0 && (!r.Slowdowns || since%slowdownPeriod < countedWindow)
		},
	}
	for _, e := range c.EntryURLs {
		run.Targets = append(run.Targets, Target{Name: r.Service, Method: http.MethodGet, URL: e + "/" + r.Service + "/x", Weight: 1})
	}
	attempts, probes, err := c.readSendCounters(ctx)
	if err != nil {
		return err
	}
	stop := func() error { return nil }
	if r.Slowdowns {
		stop = c.startSlowdowns(ctx, seed)
	}
	report, err := Run(ctx, run)
	if err = errors.CombineErrors(err, stop()); err != nil {
		return err
	}
	attemptsAfter, probesAfter, err := c.readSendCounters(ctx)
	r.Attempts += attemptsAfter - attempts
	r.Probes += probesAfter - probes
	r.addReport(report)
	return err
}

func (r *RankingResult) addReport(report *Report) {
	h := newRankingHistogram()
	for _, s := range report.ByTarget {
		h.Merge(s.Latency)
		r.Failed += s.Errors
		for outcome, n := range s.Outcomes {
			if outcome != "ran" {
				r.Failed += n
			}
		}
	}
	r.Latency.Merge(h)
	r.Rounds = append(r.Rounds, h)
	r.Sent += report.Sent
	r.Skipped += report.Skipped
}

// startSlowdowns slows down one upstream at the start of each period after the
// warm-up. The returned function stops this and restores the speed of all
// upstreams.
func (c RankingConfig) startSlowdowns(ctx context.Context, seed uint64) (stop func() error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.runSlowdowns(ctx, rand.New(rand.NewPCG(seed, seed))) }()
	return func() error {
		cancel()
		return <-done
	}
}

func (c RankingConfig) runSlowdowns(ctx context.Context, random *rand.Rand) error {
	next := time.Now().Add(c.WarmUp)
	for sleepUntil(ctx, next) {
		u := c.UpstreamURLs[random.IntN(len(c.UpstreamURLs))]
		err := setSlowdown(u, slowdownFactor)
		sleepUntil(ctx, next.Add(slowdownDuration))
		if err = errors.CombineErrors(err, setSlowdown(u, 1)); err != nil {
			return err
		}
		next = next.Add(slowdownPeriod)
	}
	return nil
}

func setSlowdown(upstream string, factor int) error {
	if err := checkLoopback(upstream); err != nil {
		return err
	}
	resp, err := http.Post(fmt.Sprintf("%s/_slow?factor=%d", upstream, factor), "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// readSendCounters returns the number of attempts and probes that all entry
// hosts have sent since their start.
func (c RankingConfig) readSendCounters(ctx context.Context) (attempts, probes int64, err error) {
	for _, admin := range c.AdminURLs {
		u, err := url.JoinPath(admin, "metrics")
		if err != nil {
			return 0, 0, err
		}
		values, err := readMetrics(ctx, u+"?format=json")
		if err != nil {
			return 0, 0, err
		}
		attempts += counterValue(values, "attempts.sent")
		probes += counterValue(values, "events.count.probe-sent")
	}
	return attempts, probes, nil
}

func readMetrics(ctx context.Context, u string) (map[string]json.RawMessage, error) {
	if err := checkLoopback(u); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	values := make(map[string]json.RawMessage)
	return values, errors.Wrap(json.Unmarshal(body, &values), u)
}

// counterValue returns the value of a counter, or 0 if it is absent.
func counterValue(values map[string]json.RawMessage, name string) int64 {
	var n int64
	if json.Unmarshal(values[name], &n) != nil {
		return 0
	}
	return n
}

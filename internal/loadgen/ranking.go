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

// The slow-downs of a ranking are those of the lab: every period one upstream
// becomes slow, and only requests that are due in the window after it count.
const (
	slowPeriod = time.Second
	slowTime   = 300 * time.Millisecond
	slowWindow = 100 * time.Millisecond
	slowFactor = 10
)

// RankingConfig describes a comparison of services that differ only in their
// policy, through the same entry hosts and over the same upstreams.
type RankingConfig struct {
	// Entries and Admins are base URLs of the entry hosts, for callers and for
	// metrics.
	Entries, Admins []string
	// Upstreams are base URLs of the stand-in upstreams.
	Upstreams []string
	// Services are the names and path prefixes to compare.
	Services []string
	// Rounds is how often each service has its turn.
	Rounds int
	// WarmUp is the time of a turn before requests count, Duration the rest.
	WarmUp, Duration time.Duration
	// Rate is requests per second.
	Rate float64
	// MaxInFlight bounds concurrency.
	MaxInFlight int
	// Seed makes arrivals and the choice of slow upstreams reproducible.
	Seed uint64
}

// Ranking is what one service did under one condition, over all rounds.
type Ranking struct {
	// Service is its name.
	Service string
	// Slowdowns says whether upstreams slowed down.
	Slowdowns bool
	// Latency of the requests that count, from the time they were due, in
	// microseconds.
	Latency *hdrhistogram.Histogram
	// Rounds are the same by round.
	Rounds []*hdrhistogram.Histogram
	// Sent, Bad and Skipped count requests of the whole turns: all sent, those
	// without a good answer, and arrivals beyond MaxInFlight.
	Sent, Bad, Skipped int
	// Attempts and Probes are what the entry hosts sent in the turns.
	Attempts, Probes int64
}

// Rank gives each service its turn, round by round, steady and then with
// slow-downs.
func Rank(ctx context.Context, conf RankingConfig) ([]Ranking, error) {
	var out []Ranking
	for _, slow := range []bool{false, true} {
		for _, s := range conf.Services {
			out = append(out, Ranking{Service: s, Slowdowns: slow, Latency: newHistogram()})
		}
	}
	for round := range conf.Rounds {
		for i := range out {
			if err := conf.turn(ctx, &out[i], conf.Seed+uint64(round)); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigit)
}

// turn runs one service for one round. All services of a round get the same
// arrivals and slow-downs.
func (c RankingConfig) turn(ctx context.Context, r *Ranking, seed uint64) error {
	run := Config{
		Rate: c.Rate, Duration: c.WarmUp + c.Duration, MaxRequests: int(2*c.Rate*(c.WarmUp+c.Duration).Seconds()) + 1,
		MaxInFlight: c.MaxInFlight, Seed: seed,
		Counts: func(due time.Duration) bool {
			since := due - c.WarmUp
			return since >= 0 && (!r.Slowdowns || since%slowPeriod < slowWindow)
		},
	}
	for _, e := range c.Entries {
		run.Targets = append(run.Targets, Target{Name: r.Service, Method: http.MethodGet, URL: e + "/" + r.Service + "/x", Weight: 1})
	}
	attempts, probes, err := c.sends(ctx)
	if err != nil {
		return err
	}
	stop := func() error { return nil }
	if r.Slowdowns {
		stop = c.slowDown(ctx, seed)
	}
	report, err := Run(ctx, run)
	if err = errors.CombineErrors(err, stop()); err != nil {
		return err
	}
	attemptsAfter, probesAfter, err := c.sends(ctx)
	r.Attempts += attemptsAfter - attempts
	r.Probes += probesAfter - probes
	r.add(report)
	return err
}

func (r *Ranking) add(report *Report) {
	h := newHistogram()
	for _, s := range report.ByTarget {
		h.Merge(s.Latency)
		r.Bad += s.Errors
		for outcome, n := range s.Outcomes {
			if outcome != "ran" {
				r.Bad += n
			}
		}
	}
	r.Latency.Merge(h)
	r.Rounds = append(r.Rounds, h)
	r.Sent += report.Sent
	r.Skipped += report.Skipped
}

// slowDown slows one upstream at the start of each period that counts. The
// returned function ends that and leaves every upstream fast.
func (c RankingConfig) slowDown(ctx context.Context, seed uint64) (stop func() error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.slowDowns(ctx, rand.New(rand.NewPCG(seed, seed))) }()
	return func() error {
		cancel()
		return <-done
	}
}

func (c RankingConfig) slowDowns(ctx context.Context, random *rand.Rand) error {
	next := time.Now().Add(c.WarmUp)
	for sleepUntil(ctx, next) {
		u := c.Upstreams[random.IntN(len(c.Upstreams))]
		err := setSlow(u, slowFactor)
		sleepUntil(ctx, next.Add(slowTime))
		if err = errors.CombineErrors(err, setSlow(u, 1)); err != nil {
			return err
		}
		next = next.Add(slowPeriod)
	}
	return nil
}

func setSlow(upstream string, factor int) error {
	if err := checkLoopback(upstream); err != nil {
		return err
	}
	resp, err := http.Post(fmt.Sprintf("%s/_slow?factor=%d", upstream, factor), "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// sends reads how many requests and probes the entry hosts have sent.
func (c RankingConfig) sends(ctx context.Context) (attempts, probes int64, err error) {
	for _, admin := range c.Admins {
		u, err := url.JoinPath(admin, "metrics")
		if err != nil {
			return 0, 0, err
		}
		values, err := readMetrics(ctx, u+"?format=json")
		if err != nil {
			return 0, 0, err
		}
		attempts += counter(values, "attempts.sent")
		probes += counter(values, "events.count.probe-sent")
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

// counter returns a counter, or 0 if it is absent.
func counter(values map[string]json.RawMessage, name string) int64 {
	var n int64
	if json.Unmarshal(values[name], &n) != nil {
		return 0
	}
	return n
}

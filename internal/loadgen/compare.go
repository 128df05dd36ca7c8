package loadgen

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Through is one way through an entry host.
type Through struct {
	// Name labels the way.
	Name string
	// URL is the way's URL; it must be loopback.
	URL string
	// PID is the process id of the entry host, for its CPU time.
	PID int
	// Admin is the IP:port of its metrics, for its allocations; empty is none.
	Admin string
}

// CompareConfig configures a comparison of ways to the same upstream.
type CompareConfig struct {
	// Direct is the URL of the direct way; it must be loopback.
	Direct string
	// Through are the ways through entry hosts, such as an old and a new build.
	Through []Through
	// Shares are the loads to compare at, as shares of the first way's saturation.
	Shares []float64
	// Duration bounds each round of each load in time.
	Duration time.Duration
	// Rounds is how often each load is measured; loads take turns.
	Rounds int
	// Workers is the number of connections to each way.
	Workers int
	// Seed makes the arrivals reproducible.
	Seed uint64
}

// Saturation is what an entry host serves to callers that never wait; medians
// over the rounds.
type Saturation struct {
	// Rate is requests per second.
	Rate float64
	// PerCore is requests per second of CPU time of the entry host, and
	// PerCoreLow and PerCoreHigh its range over the rounds.
	PerCore, PerCoreLow, PerCoreHigh float64
	// Allocations and AllocatedBytes are per request, over the whole process;
	// -1 where they were not asked for.
	Allocations, AllocatedBytes float64
	// Errors counts requests without a good answer.
	Errors int64
}

// Bounds of a comparison.
const (
	maxWorkers     = 1000
	maxRounds      = 100
	maxRoundLength = time.Minute
)

func (c *CompareConfig) validate() error {
	if c.Workers <= 0 || c.Workers > maxWorkers || c.Rounds <= 0 || c.Rounds > maxRounds {
		return errors.Newf("workers and rounds must be positive, at most %d and %d", maxWorkers, maxRounds)
	}
	if c.Duration <= 0 || c.Duration > maxRoundLength {
		return errors.Newf("duration must be positive, at most %s", maxRoundLength)
	}
	if len(c.Through) == 0 {
		return errors.New("no way through an entry host")
	}
	if err := checkLoopback(c.Direct); err != nil {
		return err
	}
	for _, t := range c.Through {
		if err := checkLoopback(t.URL); err != nil {
			return err
		}
		if t.Admin == "" {
			continue
		}
		if err := checkLoopback("http://" + t.Admin); err != nil {
			return err
		}
	}
	return nil
}

// Compare measures the saturation of each entry host and then sends each load
// directly and through each of them, interleaved in one run.
func Compare(ctx context.Context, conf CompareConfig) ([]Saturation, []Level, error) {
	if err := conf.validate(); err != nil {
		return nil, nil, err
	}
	sats, err := saturateAll(ctx, conf)
	if err != nil {
		return nil, nil, err
	}
	levels, err := measureLevels(ctx, conf, sats[0].Rate)
	return sats, levels, err
}

// saturateAll saturates the entry hosts by turns.
func saturateAll(ctx context.Context, conf CompareConfig) ([]Saturation, error) {
	rounds := make([][]Saturation, len(conf.Through))
	for range conf.Rounds {
		for i, t := range conf.Through {
			sat, err := saturate(ctx, conf, t)
			if err != nil {
				return nil, err
			}
			rounds[i] = append(rounds[i], *sat)
		}
	}
	out := make([]Saturation, 0, len(rounds))
	for _, r := range rounds {
		out = append(out, summary(r))
	}
	return out, nil
}

// summary returns the medians of rounds.
func summary(rounds []Saturation) Saturation {
	sorted := func(of func(*Saturation) float64) []float64 {
		values := make([]float64, 0, len(rounds))
		for i := range rounds {
			values = append(values, of(&rounds[i]))
		}
		slices.Sort(values)
		return values
	}
	middle := len(rounds) / 2
	perCore := sorted(func(s *Saturation) float64 { return s.PerCore })
	out := Saturation{
		Rate:           sorted(func(s *Saturation) float64 { return s.Rate })[middle],
		PerCore:        perCore[middle],
		PerCoreLow:     perCore[0],
		PerCoreHigh:    perCore[len(perCore)-1],
		Allocations:    sorted(func(s *Saturation) float64 { return s.Allocations })[middle],
		AllocatedBytes: sorted(func(s *Saturation) float64 { return s.AllocatedBytes })[middle],
	}
	for i := range rounds {
		out.Errors += rounds[i].Errors
	}
	return out
}

// saturate sends requests back to back through an entry host.
func saturate(ctx context.Context, conf CompareConfig, way Through) (*Saturation, error) {
	ctx, cancel := context.WithTimeout(ctx, conf.Duration)
	defer cancel()
	before, err := usageOf(way)
	if err != nil {
		return nil, err
	}
	var served, failed atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range conf.Workers {
		wg.Go(func() { askUntil(ctx, way.URL, &served, &failed) })
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := usageOf(way)
	if err != nil {
		return nil, err
	}
	n := float64(served.Load())
	sat := &Saturation{
		Rate:           n / elapsed.Seconds(),
		PerCore:        n / (after.cpu - before.cpu).Seconds(),
		Allocations:    -1,
		AllocatedBytes: -1,
		Errors:         failed.Load(),
	}
	if way.Admin != "" {
		sat.Allocations = float64(after.Objects-before.Objects) / n
		sat.AllocatedBytes = float64(after.Bytes-before.Bytes) / n
	}
	return sat, nil
}

// askUntil asks back to back until ctx ends. A failed connection is replaced.
func askUntil(ctx context.Context, url string, served, failed *atomic.Int64) {
	for ctx.Err() == nil {
		w, err := dialWire(ctx, url)
		if err != nil {
			if ctx.Err() == nil {
				failed.Add(1)
				time.Sleep(redialPause)
			}
			continue
		}
		for ctx.Err() == nil && err == nil {
			if err = w.ask(); err == nil {
				served.Add(1)
			}
		}
		if err != nil {
			failed.Add(1)
		}
		w.close()
	}
}

// redialPause is waited after a connection that could not be made.
const redialPause = 10 * time.Millisecond

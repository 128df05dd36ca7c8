package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// CompareConfig configures a comparison of two ways to the same upstream.
type CompareConfig struct {
	// Direct and Through are the URLs of the two ways; both must be loopback.
	Direct, Through string
	// EntryPID is the process id of the entry host, for its CPU time.
	EntryPID int
	// Shares are the loads to compare at, as shares of saturation.
	Shares []float64
	// Duration bounds each load in time.
	Duration time.Duration
	// Workers is the number of connections that saturate the entry host.
	Workers int
	// Seed makes the arrivals reproducible.
	Seed uint64
}

// Saturation is what the entry host serves to callers that never wait.
type Saturation struct {
	// Rate is requests per second.
	Rate float64
	// PerCore is requests per second of CPU time of the entry host.
	PerCore float64
	// Errors counts requests without a good answer.
	Errors int64
}

// Level is the comparison at one load.
type Level struct {
	// Share is the load as a share of saturation.
	Share float64
	// Report has the direct way first.
	Report *Report
}

// maxLevelRequests bounds the requests of one load.
const maxLevelRequests = 500_000

// Compare measures saturation through the entry host and then sends each load
// half directly and half through it, interleaved at random in one run.
func Compare(ctx context.Context, conf CompareConfig) (*Saturation, []Level, error) {
	if err := checkLoopback(conf.Direct); err != nil {
		return nil, nil, err
	}
	if err := checkLoopback(conf.Through); err != nil {
		return nil, nil, err
	}
	if conf.Workers <= 0 || conf.Duration <= 0 {
		return nil, nil, errors.New("workers and duration must be positive")
	}
	sat, err := saturate(ctx, conf)
	if err != nil {
		return nil, nil, err
	}
	var levels []Level
	for _, share := range conf.Shares {
		report, err := Run(ctx, Config{
			Rate:        2 * share * sat.Rate,
			Duration:    conf.Duration,
			MaxRequests: maxLevelRequests,
			MaxInFlight: 4 * conf.Workers,
			Seed:        conf.Seed,
			Targets: []Target{
				{Name: "direct", Method: http.MethodGet, URL: conf.Direct, Weight: 1},
				{Name: "through", Method: http.MethodGet, URL: conf.Through, Weight: 1},
			},
		})
		if err != nil {
			return nil, nil, err
		}
		levels = append(levels, Level{share, report})
	}
	return sat, levels, nil
}

// saturate sends requests back to back through the entry host.
func saturate(ctx context.Context, conf CompareConfig) (*Saturation, error) {
	ctx, cancel := context.WithTimeout(ctx, conf.Duration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conf.Workers}}
	before, err := cpuTime(conf.EntryPID)
	if err != nil {
		return nil, err
	}
	var served, failed atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range conf.Workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				countOne(ctx, client, conf.Through, &served, &failed)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := cpuTime(conf.EntryPID)
	if err != nil {
		return nil, err
	}
	n := float64(served.Load())
	return &Saturation{
		Rate:    n / elapsed.Seconds(),
		PerCore: n / (after - before).Seconds(),
		Errors:  failed.Load(),
	}, nil
}

func countOne(ctx context.Context, client *http.Client, url string, served, failed *atomic.Int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		failed.Add(1)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			failed.Add(1)
		}
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		if ctx.Err() == nil {
			failed.Add(1)
		}
		return
	}
	served.Add(1)
}

package loadgen

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// EntryHost is an entry host under measurement.
type EntryHost struct {
	// Name labels the results.
	Name string
	// URL is requested through the entry host; it must be a loopback address.
	URL string
	// PID is the process ID, used to read CPU time and scheduling delay.
	PID int
	// AdminAddress is the IP:port that serves metrics, used to read allocation
	// counters. If empty, allocations are not measured.
	AdminAddress string
}

// CompareConfig configures a comparison of direct requests to an upstream with
// requests to it through entry hosts.
type CompareConfig struct {
	// DirectURL is requested at the upstream itself; it must be a loopback
	// address.
	DirectURL string
	// EntryHosts are the entry hosts to compare, such as an old and a new build.
	EntryHosts []EntryHost
	// LoadShares are the loads to compare at, as fractions of the saturation
	// rate of the first entry host.
	LoadShares []float64
	// Duration is the length of one round at one load.
	Duration time.Duration
	// Rounds is how often each load is measured. Rounds of different loads are
	// interleaved.
	Rounds int
	// Workers is the number of connections per path.
	Workers int
	// Seed makes the arrival times reproducible.
	Seed uint64
}

// Saturation is the throughput of an entry host under back-to-back requests.
// The values are medians over the rounds.
type Saturation struct {
	// Rate is in requests per second.
	Rate float64
	// PerCore is the number of requests per second of CPU time of the entry
	// host. PerCoreLow and PerCoreHigh are its range over the rounds.
	PerCore, PerCoreLow, PerCoreHigh float64
	// Allocations and AllocatedBytes are per request and cover the whole
	// process; -1 if not measured.
	Allocations, AllocatedBytes float64
	// Errors counts failed requests over all rounds.
	Errors int64
}

// Limits on a comparison.
const (
	maxWorkers       = 1000
	maxRounds        = 100
	maxRoundDuration = time.Minute
)

func (c *CompareConfig) validate() error {
	if c.Workers <= 0 || c.Workers > maxWorkers || c.Rounds <= 0 || c.Rounds > maxRounds {
		return errors.Newf("workers and rounds must be positive, at most %d and %d", maxWorkers, maxRounds)
	}
	if c.Duration <= 0 || c.Duration > maxRoundDuration {
		return errors.Newf("duration must be positive, at most %s", maxRoundDuration)
	}
	if len(c.EntryHosts) == 0 {
		return errors.New("no entry host to compare")
	}
	if err := checkLoopback(c.DirectURL); err != nil {
		return err
	}
	for _, host := range c.EntryHosts {
		if err := checkLoopback(host.URL); err != nil {
			return err
		}
		if host.AdminAddress == "" {
			continue
		}
		if err := checkLoopback("http://" + host.AdminAddress); err != nil {
			return err
		}
	}
	return nil
}

// Compare measures the saturation rate of each entry host. It then sends each
// load to the upstream directly and through each entry host, interleaved within
// the same run.
func Compare(ctx context.Context, conf CompareConfig) ([]Saturation, []LoadLevel, error) {
	if err := conf.validate(); err != nil {
		return nil, nil, err
	}
	saturations, err := measureSaturation(ctx, conf)
	if err != nil {
		return nil, nil, err
	}
	levels, err := measureLevels(ctx, conf, saturations[0].Rate)
	return saturations, levels, err
}

// measureSaturation measures the saturation of the entry hosts, alternating
// between them in each round.
func measureSaturation(ctx context.Context, conf CompareConfig) ([]Saturation, error) {
	rounds := make([][]Saturation, len(conf.EntryHosts))
	for range conf.Rounds {
		for i, host := range conf.EntryHosts {
			saturation, err := measureSaturationOnce(ctx, conf, host)
			if err != nil {
				return nil, err
			}
			rounds[i] = append(rounds[i], *saturation)
		}
	}
	out := make([]Saturation, 0, len(rounds))
	for _, measured := range rounds {
		out = append(out, medians(measured))
	}
	return out, nil
}

// medians combines rounds into medians and adds up their errors.
func medians(rounds []Saturation) Saturation {
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

// measureSaturationOnce sends back-to-back requests through an entry host for
// one round.
func measureSaturationOnce(ctx context.Context, conf CompareConfig, host EntryHost) (*Saturation, error) {
	ctx, cancel := context.WithTimeout(ctx, conf.Duration)
	defer cancel()
	before, err := readUsage(host)
	if err != nil {
		return nil, err
	}
	var served, failed atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range conf.Workers {
		wg.Go(func() { sendBackToBack(ctx, host.URL, &served, &failed) })
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := readUsage(host)
	if err != nil {
		return nil, err
	}
	n := float64(served.Load())
	saturation := &Saturation{
		Rate:           n / elapsed.Seconds(),
		PerCore:        n / (after.cpu - before.cpu).Seconds(),
		Allocations:    -1,
		AllocatedBytes: -1,
		Errors:         failed.Load(),
	}
	if host.AdminAddress != "" {
		saturation.Allocations = float64(after.Objects-before.Objects) / n
		saturation.AllocatedBytes = float64(after.Bytes-before.Bytes) / n
	}
	return saturation, nil
}

// sendBackToBack sends requests on one connection until ctx ends, and replaces
// the connection after an error.
func sendBackToBack(ctx context.Context, url string, served, failed *atomic.Int64) {
	for ctx.Err() == nil {
		conn, err := dialRaw(ctx, url)
		if err != nil {
			if ctx.Err() == nil {
				failed.Add(1)
				time.Sleep(redialDelay)
			}
			continue
		}
		for ctx.Err() == nil && err == nil {
			if err = conn.roundTrip(); err == nil {
				served.Add(1)
			}
		}
		if err != nil {
			failed.Add(1)
		}
		conn.close()
	}
}

// redialDelay is the wait after a failed connection attempt.
const redialDelay = 10 * time.Millisecond

package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Stalls of the hedging measurement: one response in stallEvery takes stallTime longer, as
// on a machine with noisy neighbours.
const (
	stallEvery = 50
	stallTime  = 50 * time.Millisecond
	hedgeSpan  = 20 * time.Second // virtual time
)

// hedging is the configuration of one table row.
type hedging struct {
	name  string
	retry config.Retry
}

// TestMeasureHedging prints the hedging table of make measure-overload.
func TestMeasureHedging(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Printf("1 entry host, 10 upstreams of %d slots, mean %s, log-normal; 1 in %d stalls %s; %s virtual; budget 10 %%\n",
		testSlots, testService, stallEvery, stallTime, hedgeSpan)
	fmt.Printf("%-28s %5s %9s %9s %9s %12s\n", "hedging", "load", "p50", "p99", "p99.9", "extra sends")
	rows := []hedging{
		{"off", config.Retry{}},
		{"fixed 20ms", config.Retry{HedgeAfter: config.Duration(20 * time.Millisecond)}},
		{"percentile 90", config.Retry{HedgePercentile: 90}},
		{"percentile 95", config.Retry{HedgePercentile: 95}},
		{"percentile 98", config.Retry{HedgePercentile: 98}},
		{"percentile 95, budget 100 %", config.Retry{HedgePercentile: 95, BudgetPercent: 100}},
	}
	for _, load := range []float64{0.4, 0.7, 0.9} {
		for _, row := range rows {
			latencies, sends := simulateHedging(t, load, row.retry)
			n := len(latencies)
			fmt.Printf("%-28s %4.1fx %9s %9s %9s %11.2f%%\n", row.name, load,
				latencies[n/2].Round(100*time.Microsecond),
				latencies[n*99/100].Round(100*time.Microsecond),
				latencies[n*999/1000].Round(100*time.Microsecond),
				percent*(float64(sends)/float64(n)-1))
		}
	}
}

// simulateHedging returns the sorted latencies of successful requests and the number of
// attempts.
func simulateHedging(t *testing.T, load float64, r config.Retry) ([]time.Duration, int) {
	var latencies []time.Duration
	sends := 0
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(3, 3))
		upstreams := newSlottedGroup(10, 3, false)
		sender := senderFunc(func(ctx context.Context, address string, req *httpwire.Request) (*httpwire.Response, *errkind.Error) {
			mu.Lock()
			sends++
			stalls := random.IntN(stallEvery) == 0
			mu.Unlock()
			if stalls {
				select {
				case <-time.After(stallTime):
				case <-ctx.Done():
				}
			}
			return upstreams.Do(ctx, address, req)
		})
		rule := lookup()
		rule.Retry = r
		p := newProxy(service(10, rule), leastOutstanding, sender, event.Discard{})
		var wg sync.WaitGroup
		arrivals := rand.New(rand.NewPCG(4, 4))
		for end := time.Now().Add(hedgeSpan); time.Now().Before(end); {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / (load * shape{1, 10, 0}.capacity()) * float64(time.Second)))
			wg.Go(func() {
				req := request("GET")
				resp := p.Serve(t.Context(), req)
				mu.Lock()
				defer mu.Unlock()
				if resp.Status == http.StatusOK {
					latencies = append(latencies, time.Since(req.Received))
				}
			})
		}
		wg.Wait()
	})
	slices.Sort(latencies)
	return latencies, sends
}

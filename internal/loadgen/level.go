package loadgen

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Level is the comparison at one load.
type Level struct {
	// Share is the load as a share of saturation, and Asked the requests per
	// second of each way that it means.
	Share, Asked float64
	// Rounds are the repeated measurements.
	Rounds []Round
}

// Round is one measurement of one load. Its ways, the direct one first, were
// asked by turns.
type Round struct {
	// Ways hold the latency of each way from the send, in microseconds.
	Ways []*Stats
	// Achieved is the requests per second of each way.
	Achieved float64
	// Delays is how long the threads of each entry host waited for a processor,
	// in microseconds for each request, of the ways through one.
	Delays []float64
}

// Added returns how much longer a quantile of a way is than of the direct way,
// in microseconds.
func (r *Round) Added(way int, quantile float64) float64 {
	return float64(r.Ways[way].FromSend.ValueAtQuantile(quantile) - r.Ways[0].FromSend.ValueAtQuantile(quantile))
}

// Added returns Round.Added of each round, sorted. Way 1 is the first through an entry host.
func (l *Level) Added(way int, quantile float64) []float64 {
	out := make([]float64, 0, len(l.Rounds))
	for _, r := range l.Rounds {
		out = append(out, r.Added(way, quantile))
	}
	slices.Sort(out)
	return out
}

// Pooled returns a quantile of a way over all rounds, in microseconds.
func (l *Level) Pooled(way int, quantile float64) float64 {
	all := newLatencies()
	for _, r := range l.Rounds {
		all.Merge(r.Ways[way].FromSend)
	}
	return float64(all.ValueAtQuantile(quantile))
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigit)
}

// measureLevels measures each load once in each round.
func measureLevels(ctx context.Context, conf CompareConfig, saturation float64) ([]Level, error) {
	levels := make([]Level, len(conf.Shares))
	for i, share := range conf.Shares {
		levels[i] = Level{Share: share, Asked: share * saturation}
	}
	for n := range conf.Rounds {
		for i := range levels {
			seed := conf.Seed + uint64(n*len(levels)+i)
			round, err := measureRound(ctx, conf, levels[i].Asked, seed)
			if err != nil {
				return nil, err
			}
			levels[i].Rounds = append(levels[i].Rounds, *round)
		}
	}
	return levels, nil
}

// measureRound shares the rate among the workers. Each asks all ways in turn,
// in a random order, and then waits for its next arrival. A worker that is late
// does not catch up, so that a stall is not followed by a burst; the achieved
// rate shows it.
func measureRound(ctx context.Context, conf CompareConfig, rate float64, seed uint64) (*Round, error) {
	workers := make([]*worker, 0, conf.Workers)
	defer func() {
		for _, w := range workers {
			w.close()
		}
	}()
	for n := range conf.Workers {
		w, err := newWorker(ctx, conf, rate/float64(conf.Workers), seed, uint64(n))
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	before, err := runDelays(conf)
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithTimeout(ctx, conf.Duration)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Go(func() { w.run(runCtx) })
	}
	wg.Wait()
	round := merge(workers, time.Since(start))
	after, err := runDelays(conf)
	if err != nil {
		return nil, err
	}
	for i := range after {
		micros := float64((after[i] - before[i]).Microseconds())
		round.Delays = append(round.Delays, micros/float64(max(round.Ways[i+1].FromSend.TotalCount(), 1)))
	}
	return round, nil
}

func runDelays(conf CompareConfig) ([]time.Duration, error) {
	out := make([]time.Duration, 0, len(conf.Through))
	for _, t := range conf.Through {
		d, err := runDelay(t.PID)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func merge(workers []*worker, elapsed time.Duration) *Round {
	r := &Round{}
	for range workers[0].stats {
		r.Ways = append(r.Ways, &Stats{FromSend: newLatencies()})
	}
	for _, w := range workers {
		for i, s := range w.stats {
			r.Ways[i].FromSend.Merge(s.FromSend)
			r.Ways[i].Errors += s.Errors
		}
	}
	r.Achieved = float64(r.Ways[0].FromSend.TotalCount()) / elapsed.Seconds()
	return r
}

// worker owns one connection to each way.
type worker struct {
	rate  float64
	rng   *rand.Rand
	urls  []string
	wires []*wire
	stats []*Stats
}

// newWorker connects to each way and asks once, so that all that follows is on
// a warm path.
func newWorker(ctx context.Context, conf CompareConfig, rate float64, seed, n uint64) (*worker, error) {
	w := &worker{rate: rate, rng: rand.New(rand.NewPCG(seed, n)), urls: []string{conf.Direct}}
	for _, t := range conf.Through {
		w.urls = append(w.urls, t.URL)
	}
	for _, url := range w.urls {
		c, err := dialWire(ctx, url)
		if err != nil {
			w.close()
			return nil, err
		}
		w.wires = append(w.wires, c)
		w.stats = append(w.stats, &Stats{FromSend: newLatencies()})
		if err := c.ask(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *worker) run(ctx context.Context) {
	order := make([]int, len(w.wires))
	for i := range order {
		order[i] = i
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		if now := time.Now(); now.After(next) {
			next = now
		}
		w.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, way := range order {
			w.measure(ctx, way)
		}
	}
}

// measure asks one way once.
func (w *worker) measure(ctx context.Context, way int) {
	s := w.stats[way]
	sent := time.Now()
	if err := w.wires[way].ask(); err != nil {
		s.Errors++
		w.wires[way].close()
		if c, err := dialWire(ctx, w.urls[way]); err == nil {
			w.wires[way] = c
		}
		return
	}
	_ = s.FromSend.RecordValue(time.Since(sent).Microseconds())
}

func (w *worker) close() {
	for _, c := range w.wires {
		c.close()
	}
}

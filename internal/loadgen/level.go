package loadgen

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadLevel holds the comparison at one load.
type LoadLevel struct {
	// Share is the load as a fraction of the saturation rate. TargetRate is the
	// same load in requests per second and path.
	Share, TargetRate float64
	// Rounds holds the repeated measurements.
	Rounds []Round
}

// Round is one measurement of one load. At each arrival, one request is sent on
// each path: path 0 is direct, path i+1 leads through entry host i.
type Round struct {
	// Paths holds SendLatency and Errors of each path.
	Paths []*Stats
	// AchievedRate is the number of requests per second and path.
	AchievedRate float64
	// RunDelays is the time that the threads of each entry host spent waiting
	// for a processor, in microseconds per request.
	RunDelays []float64
}

// AddedLatency returns the difference between a latency quantile of a path and
// that of the direct path, in microseconds.
func (r *Round) AddedLatency(path int, quantile float64) float64 {
	return float64(r.Paths[path].SendLatency.ValueAtQuantile(quantile) - r.Paths[0].SendLatency.ValueAtQuantile(quantile))
}

// AddedLatencies returns Round.AddedLatency of each round in ascending order.
func (l *LoadLevel) AddedLatencies(path int, quantile float64) []float64 {
	out := make([]float64, 0, len(l.Rounds))
	for _, r := range l.Rounds {
		out = append(out, r.AddedLatency(path, quantile))
	}
	slices.Sort(out)
	return out
}

// PooledQuantile returns a latency quantile of a path over all rounds, in
// microseconds.
func (l *LoadLevel) PooledQuantile(path int, quantile float64) float64 {
	all := newLatencyHistogram()
	for _, r := range l.Rounds {
		all.Merge(r.Paths[path].SendLatency)
	}
	return float64(all.ValueAtQuantile(quantile))
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// measureLevels measures each load once in each round.
func measureLevels(ctx context.Context, conf CompareConfig, saturation float64) ([]LoadLevel, error) {
	levels := make([]LoadLevel, len(conf.LoadShares))
	for i, share := range conf.LoadShares {
		levels[i] = LoadLevel{Share: share, TargetRate: share * saturation}
	}
	for n := range conf.Rounds {
		for i := range levels {
			seed := conf.Seed + uint64(n*len(levels)+i)
			round, err := measureRound(ctx, conf, levels[i].TargetRate, seed)
			if err != nil {
				return nil, err
			}
			levels[i].Rounds = append(levels[i].Rounds, *round)
		}
	}
	return levels, nil
}

// measureRound divides the rate evenly among the workers. At each arrival, a
// worker sends one request on every path, in random order. A worker that is late
// does not catch up, so that no burst follows a stall; the lower achieved rate
// shows the stall.
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
	before, err := readRunDelays(conf)
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
	round := mergeWorkers(workers, time.Since(start))
	after, err := readRunDelays(conf)
	if err != nil {
		return nil, err
	}
	for i := range after {
		micros := float64((after[i] - before[i]).Microseconds())
		round.RunDelays = append(round.RunDelays, micros/float64(max(round.Paths[i+1].SendLatency.TotalCount(), 1)))
	}
	return round, nil
}

func readRunDelays(conf CompareConfig) ([]time.Duration, error) {
	out := make([]time.Duration, 0, len(conf.EntryHosts))
	for _, host := range conf.EntryHosts {
		d, err := readRunDelay(host.PID)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func mergeWorkers(workers []*worker, elapsed time.Duration) *Round {
	r := &Round{}
	for range workers[0].stats {
		r.Paths = append(r.Paths, &Stats{SendLatency: newLatencyHistogram()})
	}
	for _, w := range workers {
		for i, s := range w.stats {
			r.Paths[i].SendLatency.Merge(s.SendLatency)
			r.Paths[i].Errors += s.Errors
		}
	}
	r.AchievedRate = float64(r.Paths[0].SendLatency.TotalCount()) / elapsed.Seconds()
	return r
}

// worker owns one connection per path.
type worker struct {
	rate  float64
	rng   *rand.Rand
	urls  []string
	conns []*rawConn
	stats []*Stats
}

// newWorker opens a connection per path and sends one unmeasured request on it,
// so that the measured requests use warm connections.
func newWorker(ctx context.Context, conf CompareConfig, rate float64, seed, n uint64) (*worker, error) {
	w := &worker{rate: rate, rng: rand.New(rand.NewPCG(seed, n)), urls: []string{conf.DirectURL}}
	for _, host := range conf.EntryHosts {
		w.urls = append(w.urls, host.URL)
	}
	for _, url := range w.urls {
		conn, err := dialRaw(ctx, url)
		if err != nil {
			w.close()
			return nil, err
		}
		w.conns = append(w.conns, conn)
		w.stats = append(w.stats, &Stats{SendLatency: newLatencyHistogram()})
		if err := conn.roundTrip(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *worker) run(ctx context.Context) {
	order := make([]int, len(w.conns))
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
		for _, path := range order {
			w.measurePath(ctx, path)
		}
	}
}

// measurePath sends one request on a path and records its latency. After an
// error it replaces the connection.
func (w *worker) measurePath(ctx context.Context, path int) {
	s := w.stats[path]
	sent := time.Now()
	if err := w.conns[path].roundTrip(); err != nil {
		s.Errors++
		w.conns[path].close()
		if conn, err := dialRaw(ctx, w.urls[path]); err == nil {
			w.conns[path] = conn
		}
		return
	}
	_ = s.SendLatency.RecordValue(time.Since(sent).Microseconds())
}

func (w *worker) close() {
	for _, conn := range w.conns {
		conn.close()
	}
}

package lab

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
)

// Contender is one row of a table.
type Contender struct {
	// Name is the row's name.
	Name string
	// Builder makes the policy; nil is the reference.
	Builder balancer.Builder
	// NewHost is as in Run.
	NewHost func(Env) Host
	// ProbePercent is as in Run.
	ProbePercent float64
}

// Plan is a set of runs: every contender meets every seed.
type Plan struct {
	// Contenders are the rows.
	Contenders []Contender
	// Seeds is the number of seeds, from FirstSeed.
	Seeds int
	// FirstSeed is the first seed.
	FirstSeed uint64
	// Duration is as in Run.
	Duration time.Duration
	// Workers bounds the runs at the same time.
	Workers int
}

// Row is one contender over all seeds.
type Row struct {
	// Contender is its name.
	Contender string
	// Total merges the runs.
	Total *Result
	// Runs holds one result per seed.
	Runs []*Result
}

// Compare runs every contender under one workload and fault.
func (p Plan) Compare(w Workload, f Fault) []Row {
	rows := make([]Row, len(p.Contenders))
	var wg sync.WaitGroup
	limit := make(chan struct{}, max(min(p.Workers, runtime.NumCPU()), 1))
	for i, c := range p.Contenders {
		rows[i] = Row{Contender: c.Name, Runs: make([]*Result, p.Seeds)}
		for s := range p.Seeds {
			wg.Add(1)
			limit <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-limit }()
				rows[i].Runs[s] = Run{
					Workload:     w,
					Fault:        f,
					Builder:      c.Builder,
					NewHost:      c.NewHost,
					ProbePercent: c.ProbePercent,
					Duration:     p.Duration,
					Seed:         p.FirstSeed + uint64(s),
				}.Do()
			}()
		}
	}
	wg.Wait()
	for i := range rows {
		rows[i].Total = merge(rows[i].Runs)
	}
	return rows
}

func merge(runs []*Result) *Result {
	total := newResult()
	for _, r := range runs {
		total.Latency.Merge(r.Latency)
		total.Offered += r.Offered
		total.Good += r.Good
		total.GivenUp += r.GivenUp
		total.Attempts += r.Attempts
		total.Probes += r.Probes
		total.ProbeShare += r.ProbeShare / float64(len(runs))
		total.Goodput += r.Goodput / float64(len(runs))
	}
	return total
}

// Millis returns a quantile of the latency in milliseconds.
func (r *Result) Millis(quantile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(quantile)) / 1000
}

// Spread returns the lowest and the highest value of a quantile over the seeds.
func (r Row) Spread(quantile float64) (low, high float64) {
	low = math.Inf(1)
	for _, run := range r.Runs {
		low = min(low, run.Millis(quantile))
		high = max(high, run.Millis(quantile))
	}
	return low, high
}

// Print writes one table.
func Print(out io.Writer, w Workload, f Fault, rows []Row, probePercent float64) error {
	fmt.Fprintf(out, "%s: %d upstreams, %d entry hosts, mean %v; %s at load %.2f\n",
		w.Name, w.Upstreams, w.EntryHosts, w.Mean, f.Name, f.Load)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tp50 ms\tp99 ms\tspread\tp99.9 ms\tspread\tgoodput\tgiven up %\tattempts\tprobes\tslot time %\tbudget %\t")
	for _, r := range rows {
		printRow(t, r, probePercent)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func printRow(t io.Writer, r Row, probePercent float64) {
	x := r.Total
	ended := float64(max(x.Good+x.GivenUp, 1))
	low99, high99 := r.Spread(99)
	low999, high999 := r.Spread(99.9)
	fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.0f-%.0f\t%.1f\t%.0f-%.0f\t%.3f\t%.2f\t%.2f\t%d\t%.2f\t%.1f\t\n",
		r.Contender, x.Millis(50), x.Millis(99), low99, high99, x.Millis(99.9), low999, high999,
		x.Goodput, 100*float64(x.GivenUp)/ended, float64(x.Attempts)/ended, x.Probes, x.ProbeShare, probePercent)
}

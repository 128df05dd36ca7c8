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

// Candidate is a policy or the reference in a comparison, shown as one table row.
type Candidate struct {
	// Name is the name of the row.
	Name string
	// Builder, NewHost and ProbePercent are used as in Run.
	Builder      balancer.Builder
	NewHost      func(Env) Host
	ProbePercent float64
}

// Plan is a set of runs: every candidate runs with every seed.
type Plan struct {
	// Candidates are the candidates to compare.
	Candidates []Candidate
	// Seeds is the number of consecutive seeds, starting with FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Duration is used as in Run.
	Duration time.Duration
	// Workers bounds the concurrent runs, which also never exceed the number of
	// CPUs.
	Workers int
}

// Row holds the results of one candidate over all seeds.
type Row struct {
	// Candidate is the name of the candidate.
	Candidate string
	// Total combines the results of all runs.
	Total *Result
	// Runs holds one result per seed.
	Runs []*Result
}

// Compare runs every candidate with one workload and fault.
func (p Plan) Compare(w Workload, f Fault) []Row {
	rows := make([]Row, len(p.Candidates))
	var wg sync.WaitGroup
	running := make(chan struct{}, max(min(p.Workers, runtime.NumCPU()), 1))
	for i, candidate := range p.Candidates {
		rows[i] = Row{Candidate: candidate.Name, Runs: make([]*Result, p.Seeds)}
		for s := range p.Seeds {
			wg.Add(1)
			running <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-running }()
				rows[i].Runs[s] = Run{
					Workload:     w,
					Fault:        f,
					Builder:      candidate.Builder,
					NewHost:      candidate.NewHost,
					ProbePercent: candidate.ProbePercent,
					Duration:     p.Duration,
					Seed:         p.FirstSeed + uint64(s),
				}.Do()
			}()
		}
	}
	wg.Wait()
	for i := range rows {
		rows[i].Total = mergeRuns(rows[i].Runs)
	}
	return rows
}

func mergeRuns(runs []*Result) *Result {
	total := newResult()
	for _, run := range runs {
		total.Latency.Merge(run.Latency)
		total.Offered += run.Offered
		total.Good += run.Good
		total.GivenUp += run.GivenUp
		total.Attempts += run.Attempts
		total.Probes += run.Probes
		total.ProbeShare += run.ProbeShare / float64(len(runs))
		total.Goodput += run.Goodput / float64(len(runs))
	}
	return total
}

// Millis returns a latency quantile in milliseconds.
func (r *Result) Millis(quantile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(quantile)) / 1000
}

// Spread returns the lowest and the highest value of a latency quantile over the
// seeds, in milliseconds.
func (r Row) Spread(quantile float64) (low, high float64) {
	low = math.Inf(1)
	for _, run := range r.Runs {
		low = min(low, run.Millis(quantile))
		high = max(high, run.Millis(quantile))
	}
	return low, high
}

// PrintTable writes the table of one workload and fault.
func PrintTable(out io.Writer, w Workload, f Fault, rows []Row, probePercent float64) error {
	fmt.Fprintf(out, "%s: %d upstreams, %d entry hosts, mean %v; %s at load %.2f\n",
		w.Name, w.Upstreams, w.EntryHosts, w.MeanServiceTime, f.Name, f.Load)
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
		r.Candidate, x.Millis(50), x.Millis(99), low99, high99, x.Millis(99.9), low999, high999,
		x.Goodput, 100*float64(x.GivenUp)/ended, float64(x.Attempts)/ended, x.Probes, x.ProbeShare, probePercent)
}

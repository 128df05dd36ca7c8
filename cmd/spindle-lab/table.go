package main

import (
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/lab"
)

// runOptions holds the flags shared by all subcommands.
type runOptions struct {
	workloads, faults []string
	probePercent      float64
	load              float64
	reportInterval    time.Duration
	plan              lab.Plan
}

const (
	defaultSeeds        = 5
	defaultWorkers      = 4
	defaultProbePercent = 2
	defaultDuration     = 8 * time.Second
)

func (o *runOptions) addFlags(f *pflag.FlagSet) {
	f.StringSliceVar(&o.workloads, "workload", nil, "workloads to run (default the six services; loopback is the workload of make measure-ranking)")
	f.StringSliceVar(&o.faults, "fault", nil, "faults to run (default all)")
	f.Float64Var(&o.load, "load", 0, "load as a fraction of capacity, overriding that of the faults")
	f.DurationVar(&o.reportInterval, "report-every", 0, "interval between load reports, overriding that of the faults")
	f.Float64Var(&o.probePercent, "probe-percent", defaultProbePercent, "probe budget in percent of slot time")
	f.IntVar(&o.plan.Seeds, "seeds", defaultSeeds, "number of seeds")
	f.Uint64Var(&o.plan.FirstSeed, "first-seed", 1, "first seed")
	f.DurationVar(&o.plan.Duration, "duration", defaultDuration, "virtual time measured in each run")
	f.IntVar(&o.plan.Workers, "workers", defaultWorkers, "maximum number of concurrent runs")
}

// forEach calls do for every selected workload and fault.
func (o *runOptions) forEach(do func(lab.Workload, lab.Fault) error) error {
	for _, w := range append(slices.Clone(lab.Workloads), lab.Loopback) {
		if !o.includesWorkload(w) {
			continue
		}
		for _, f := range lab.Faults {
			if !selected(o.faults, f.Name) {
				continue
			}
			if err := do(w, o.applyOverrides(f)); err != nil {
				return err
			}
		}
	}
	return nil
}

// includesWorkload reports whether w is selected. The loopback workload must be
// selected by name.
func (o *runOptions) includesWorkload(w lab.Workload) bool {
	if w.Name == lab.Loopback.Name {
		return slices.Contains(o.workloads, w.Name)
	}
	return selected(o.workloads, w.Name)
}

// applyOverrides applies the flags that override fields of a fault.
func (o *runOptions) applyOverrides(f lab.Fault) lab.Fault {
	if o.load > 0 {
		f.Load = o.load
	}
	if o.reportInterval > 0 {
		f.ReportInterval = o.reportInterval
	}
	return f
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func tableCommand() *cobra.Command {
	var opts runOptions
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Print one table per workload and fault",
		RunE: func(*cobra.Command, []string) error {
			opts.plan.Candidates = lab.Candidates(opts.probePercent)
			return opts.forEach(func(w lab.Workload, f lab.Fault) error {
				return lab.PrintTable(os.Stdout, w, f, opts.plan.Compare(w, f), opts.probePercent)
			})
		},
	}
	opts.addFlags(cmd.Flags())
	return cmd
}

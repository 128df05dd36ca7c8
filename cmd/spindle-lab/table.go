package main

import (
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/lab"
)

// selection is what the commands have in common.
type selection struct {
	workloads, faults []string
	probePercent      float64
	load              float64
	reportEvery       time.Duration
	plan              lab.Plan
}

const (
	defaultSeeds        = 5
	defaultWorkers      = 4
	defaultProbePercent = 2
	defaultDuration     = 8 * time.Second
)

func (s *selection) flags(f *pflag.FlagSet) {
	f.StringSliceVar(&s.workloads, "workload", nil, "workloads; empty is the six services, loopback is that of make measure-ranking")
	f.StringSliceVar(&s.faults, "fault", nil, "faults; empty is all")
	f.Float64Var(&s.load, "load", 0, "load as a share of capacity, instead of each fault's own")
	f.DurationVar(&s.reportEvery, "report-every", 0, "reporting interval, instead of each fault's own")
	f.Float64Var(&s.probePercent, "probe-percent", defaultProbePercent, "measuring budget in percent of slot time")
	f.IntVar(&s.plan.Seeds, "seeds", defaultSeeds, "number of seeds")
	f.Uint64Var(&s.plan.FirstSeed, "first-seed", 1, "first seed")
	f.DurationVar(&s.plan.Duration, "duration", defaultDuration, "virtual time of one run")
	f.IntVar(&s.plan.Workers, "workers", defaultWorkers, "runs at the same time")
}

// each calls do for every selected workload and fault.
func (s *selection) each(do func(lab.Workload, lab.Fault) error) error {
	for _, w := range append(slices.Clone(lab.Workloads), lab.Loopback) {
		if !s.wants(w) {
			continue
		}
		for _, f := range lab.Faults {
			if !selected(s.faults, f.Name) {
				continue
			}
			if err := do(w, s.override(f)); err != nil {
				return err
			}
		}
	}
	return nil
}

// wants reports whether w was asked for; the loopback only by its name.
func (s *selection) wants(w lab.Workload) bool {
	if w.Name == lab.Loopback.Name {
		return slices.Contains(s.workloads, w.Name)
	}
	return selected(s.workloads, w.Name)
}

// override applies the flags that replace a part of a fault.
func (s *selection) override(f lab.Fault) lab.Fault {
	if s.load > 0 {
		f.Load = s.load
	}
	if s.reportEvery > 0 {
		f.ReportEvery = s.reportEvery
	}
	return f
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func tableCommand() *cobra.Command {
	var s selection
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Print one table per workload and fault",
		RunE: func(*cobra.Command, []string) error {
			s.plan.Contenders = lab.Contenders(s.probePercent)
			return s.each(func(w lab.Workload, f lab.Fault) error {
				return lab.Print(os.Stdout, w, f, s.plan.Compare(w, f), s.probePercent)
			})
		},
	}
	s.flags(cmd.Flags())
	return cmd
}

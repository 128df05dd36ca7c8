package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/lab"
)

// goalQuantiles are the compared quantiles, in percent.
var goalQuantiles = []float64{99, 99.9}

func goalsCommand() *cobra.Command {
	var opts runOptions
	cmd := &cobra.Command{
		Use:   "goals",
		Short: "Compare the spindle policy with the baselines, one row per workload, fault and quantile",
		RunE: func(*cobra.Command, []string) error {
			opts.plan.Candidates = lab.Candidates(opts.probePercent)
			out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprint(out, lab.GoalHeader)
			err := opts.forEach(func(w lab.Workload, f lab.Fault) error {
				rows := opts.plan.Compare(w, f)
				for _, q := range goalQuantiles {
					lab.EvaluateGoal(rows, q).Print(out, w, f)
				}
				return nil
			})
			if err != nil {
				return err
			}
			return out.Flush()
		},
	}
	opts.addFlags(cmd.Flags())
	return cmd
}

package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/lab"
)

// goalQuantiles are the quantiles of the goals, in percent.
var goalQuantiles = []float64{99, 99.9}

func goalsCommand() *cobra.Command {
	var s selection
	cmd := &cobra.Command{
		Use:   "goals",
		Short: "Compare the spindle policy with the baselines, one row per workload, fault and quantile",
		RunE: func(*cobra.Command, []string) error {
			s.plan.Contenders = lab.Contenders(s.probePercent)
			out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprint(out, lab.GoalHeader)
			err := s.each(func(w lab.Workload, f lab.Fault) error {
				rows := s.plan.Compare(w, f)
				for _, q := range goalQuantiles {
					lab.Judge(rows, q).Print(out, w, f)
				}
				return nil
			})
			if err != nil {
				return err
			}
			return out.Flush()
		},
	}
	s.flags(cmd.Flags())
	return cmd
}

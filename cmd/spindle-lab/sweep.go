package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/lab"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// sweepFactors multiply the current value of a constant.
var sweepFactors = []float64{0.5, 0.75, 1, 1.5, 2}

func sweepCommand() *cobra.Command {
	var (
		opts      runOptions
		constants []string
		overrides []string
		hedge     bool
	)
	cmd := &cobra.Command{
		Use:   "sweep",
		Short: "Vary each tuning constant of the spindle policy around its current value",
		RunE: func(*cobra.Command, []string) error {
			base, err := constantsWithOverrides(overrides)
			if err != nil {
				return err
			}
			for _, t := range spindle.Tunables {
				if !selected(constants, t.Name) {
					continue
				}
				if err := sweepConstant(opts, base, t, hedge); err != nil {
					return err
				}
			}
			return nil
		},
	}
	opts.addFlags(cmd.Flags())
	cmd.Flags().StringSliceVar(&constants, "constant", nil, "constants to vary (default all)")
	cmd.Flags().BoolVar(&hedge, "hedge", false, "hedge overdue requests")
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "override the default of a constant, as name=value; may be repeated")
	return cmd
}

// constantsWithOverrides returns the default constants with overrides of the form
// name=value.
func constantsWithOverrides(overrides []string) (spindle.Constants, error) {
	c := spindle.Defaults
	for _, override := range overrides {
		name, text, _ := strings.Cut(override, "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return c, errors.Wrapf(err, "constant %s", name)
		}
		found := false
		for _, t := range spindle.Tunables {
			if t.Name == name {
				t.Set(&c, v)
				found = true
			}
		}
		if !found {
			return c, errors.Newf("unknown constant %q", name)
		}
	}
	return c, nil
}

func sweepConstant(opts runOptions, base spindle.Constants, t spindle.Tunable, hedge bool) error {
	opts.plan.Candidates = nil
	for _, factor := range sweepFactors {
		c := base
		v := t.Get(&base) * factor
		t.Set(&c, v)
		name := fmt.Sprintf("%s=%g %s", t.Name, v, t.Unit)
		candidate := lab.Candidate{Name: name, Builder: spindle.Builder{Constants: &c}}
		if hedge {
			candidate.NewHost = lab.NewHedgingHost
		}
		opts.plan.Candidates = append(opts.plan.Candidates, candidate)
	}
	return opts.forEach(func(w lab.Workload, f lab.Fault) error {
		return lab.PrintTable(os.Stdout, w, f, opts.plan.Compare(w, f), 0)
	})
}

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

// neighbours are the factors on the value in force.
var neighbours = []float64{0.5, 0.75, 1, 1.5, 2}

func sweepCommand() *cobra.Command {
	var (
		s     selection
		names []string
		set   []string
		hedge bool
	)
	cmd := &cobra.Command{
		Use:   "sweep",
		Short: "Run the neighbouring values of each tuning constant of the spindle policy",
		RunE: func(*cobra.Command, []string) error {
			base, err := constants(set)
			if err != nil {
				return err
			}
			for _, t := range spindle.Tunables {
				if !selected(names, t.Name) {
					continue
				}
				if err := sweepOne(s, base, t, hedge); err != nil {
					return err
				}
			}
			return nil
		},
	}
	s.flags(cmd.Flags())
	cmd.Flags().StringSliceVar(&names, "constant", nil, "constants; empty is all")
	cmd.Flags().BoolVar(&hedge, "hedge", false, "hedge overdue requests")
	cmd.Flags().StringArrayVar(&set, "set", nil, "replace a default, as name=value")
	return cmd
}

// constants returns the defaults with replacements.
func constants(set []string) (spindle.Constants, error) {
	c := spindle.Defaults
	for _, s := range set {
		name, text, _ := strings.Cut(s, "=")
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
			return c, errors.Newf("no constant %s", name)
		}
	}
	return c, nil
}

func sweepOne(s selection, base spindle.Constants, t spindle.Tunable, hedge bool) error {
	s.plan.Contenders = nil
	for _, factor := range neighbours {
		c := base
		v := t.Get(&base) * factor
		t.Set(&c, v)
		name := fmt.Sprintf("%s=%g %s", t.Name, v, t.Unit)
		contender := lab.Contender{Name: name, Builder: spindle.Builder{Constants: &c}}
		if hedge {
			contender.NewHost = lab.NewHedgingHost
		}
		s.plan.Contenders = append(s.plan.Contenders, contender)
	}
	return s.each(func(w lab.Workload, f lab.Fault) error {
		return lab.Print(os.Stdout, w, f, s.plan.Compare(w, f), 0)
	})
}

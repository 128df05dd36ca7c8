package main

import (
	"math"
	"os"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/lab"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// ablations each disable one mechanism of the spindle policy.
var ablations = []struct {
	name string
	off  func(*spindle.Constants)
}{
	{"whole", func(*spindle.Constants) {}},
	{"no reports", func(c *spindle.Constants) { c.ReportDecay = 1e-6 }},
	{"no locality", func(c *spindle.Constants) { c.DomainCost = 0 }},
	{"no preference", func(c *spindle.Constants) { c.AwayCost = 0 }},
	{"no age", func(c *spindle.Constants) { c.SlowAge = math.Inf(1) }},
	{"no latency", func(c *spindle.Constants) { c.SlowRatio = math.Inf(1) }},
	{"no late binding", func(c *spindle.Constants) { c.BindSlack = math.Inf(1) }},
	{"no ejection", func(c *spindle.Constants) { c.EjectFailures = math.Inf(1) }},
	{"no slow start", func(c *spindle.Constants) { c.ColdFactor = 0 }},
}

func ablateCommand() *cobra.Command {
	var opts runOptions
	cmd := &cobra.Command{
		Use:   "ablate",
		Short: "Run the spindle policy with one mechanism disabled at a time",
		RunE: func(*cobra.Command, []string) error {
			opts.plan.Candidates = []lab.Candidate{{Name: leastoutstanding.Name, Builder: leastoutstanding.Builder{}}}
			for _, a := range ablations {
				c := spindle.Defaults
				a.off(&c)
				opts.plan.Candidates = append(opts.plan.Candidates, lab.Candidate{Name: a.name, Builder: spindle.Builder{Constants: &c}})
			}
			return opts.forEach(func(w lab.Workload, f lab.Fault) error {
				return lab.PrintTable(os.Stdout, w, f, opts.plan.Compare(w, f), 0)
			})
		},
	}
	opts.addFlags(cmd.Flags())
	return cmd
}

package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/lab"
)

const directoryMode = 0o755

func plotCommand() *cobra.Command {
	var (
		opts     runOptions
		dir, ext string
	)
	cmd := &cobra.Command{
		Use:   "plot",
		Short: "Plot the tail latencies of all policies to SVG or PNG files",
		RunE: func(*cobra.Command, []string) error {
			if err := os.MkdirAll(dir, directoryMode); err != nil {
				return errors.Wrap(err, "output directory")
			}
			opts.plan.Candidates = lab.Candidates(opts.probePercent)
			return opts.plotAll(dir, ext)
		},
	}
	opts.addFlags(cmd.Flags())
	cmd.Flags().StringVar(&dir, "dir", "plots", "output directory")
	cmd.Flags().StringVar(&ext, "format", "svg", "file format: svg or png")
	return cmd
}

// plotAll writes a tail latency plot per workload and fault and a bar chart of the
// p99 per fault.
func (o *runOptions) plotAll(dir, ext string) error {
	rows := make(map[string][][]lab.Row)
	names := make(map[string][]string)
	err := o.forEach(func(w lab.Workload, f lab.Fault) error {
		r := o.plan.Compare(w, f)
		rows[f.Name] = append(rows[f.Name], r)
		names[f.Name] = append(names[f.Name], w.Name)
		return printFileName(lab.PlotTail(dir, ext, w, f, r))
	})
	if err != nil {
		return err
	}
	for _, f := range lab.Faults {
		if rows[f.Name] == nil {
			continue
		}
		err := printFileName(lab.PlotQuantile(dir, ext, "p99", 99, f, names[f.Name], rows[f.Name]))
		if err != nil {
			return err
		}
	}
	return nil
}

func printFileName(name string, err error) error {
	if err != nil {
		return err
	}
	fmt.Println(name)
	return nil
}

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
		s        selection
		dir, ext string
	)
	cmd := &cobra.Command{
		Use:   "plot",
		Short: "Write the tails of all policies as SVG or PNG files",
		RunE: func(*cobra.Command, []string) error {
			if err := os.MkdirAll(dir, directoryMode); err != nil {
				return errors.Wrap(err, "output directory")
			}
			s.plan.Contenders = lab.Contenders(s.probePercent)
			return s.plotAll(dir, ext)
		},
	}
	s.flags(cmd.Flags())
	cmd.Flags().StringVar(&dir, "dir", "plots", "output directory")
	cmd.Flags().StringVar(&ext, "format", "svg", "svg or png")
	return cmd
}

// plotAll writes one tail plot per workload and fault, and bars per fault.
func (s *selection) plotAll(dir, ext string) error {
	rows := make(map[string][][]lab.Row)
	names := make(map[string][]string)
	err := s.each(func(w lab.Workload, f lab.Fault) error {
		r := s.plan.Compare(w, f)
		rows[f.Name] = append(rows[f.Name], r)
		names[f.Name] = append(names[f.Name], w.Name)
		return printName(lab.PlotTail(dir, ext, w, f, r))
	})
	if err != nil {
		return err
	}
	for _, f := range lab.Faults {
		if rows[f.Name] == nil {
			continue
		}
		err := printName(lab.PlotQuantile(dir, ext, "p99", 99, f, names[f.Name], rows[f.Name]))
		if err != nil {
			return err
		}
	}
	return nil
}

func printName(name string, err error) error {
	if err != nil {
		return err
	}
	fmt.Println(name)
	return nil
}

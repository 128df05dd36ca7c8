package main

import (
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/loadgen"
)

// compareCommand measures what an entry host adds.
func compareCommand() *cobra.Command {
	var (
		conf loadgen.CompareConfig
		idle int
	)
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare direct requests with requests through one entry host",
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Memory first: a load leaves free memory that would hide the growth.
			if err := printIdle(conf, idle); err != nil {
				return err
			}
			sat, levels, err := loadgen.Compare(cmd.Context(), conf)
			if err != nil {
				return err
			}
			return printComparison(sat, levels)
		},
	}
	f := cmd.Flags()
	f.StringVar(&conf.Direct, "direct", "", "URL at the upstream (required)")
	f.StringVar(&conf.Through, "through", "", "URL at the entry host (required)")
	f.IntVar(&conf.EntryPID, "entry-pid", 0, "process id of the entry host (required)")
	f.Float64SliceVar(&conf.Shares, "shares", []float64{0.1, 0.5, 0.8}, "loads, as shares of saturation")
	f.DurationVar(&conf.Duration, "duration", 3*time.Second, "time of each load")
	f.IntVar(&conf.Workers, "workers", 32, "connections that saturate the entry host")
	f.Uint64Var(&conf.Seed, "seed", 1, "seed of the arrivals")
	f.IntVar(&idle, "idle", 2000, "idle connections to measure memory with")
	return cmd
}

func printComparison(sat *loadgen.Saturation, levels []loadgen.Level) error {
	fmt.Printf("saturation %.0f requests/s, %.0f requests/s per core of the entry host, errors %d\n",
		sat.Rate, sat.PerCore, sat.Errors)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tquantile\tdirect ms\tthrough ms\tadded ms\tsent\tskipped\terrors\t")
	for _, l := range levels {
		direct, through := l.Report.ByTarget[0], l.Report.ByTarget[1]
		for _, q := range []float64{50, 99, 99.9} {
			d, t := millis(direct, q), millis(through, q)
			fmt.Fprintf(w, "%.0f%%\tp%g\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t\n",
				l.Share*100, q, d, t, t-d, l.Report.Sent, l.Report.Skipped, direct.Errors+through.Errors)
		}
	}
	return w.Flush()
}

func printIdle(conf loadgen.CompareConfig, connections int) error {
	u, err := url.Parse(conf.Through)
	if err != nil {
		return err
	}
	perConn, err := loadgen.IdleMemory(u.Host, conf.EntryPID, connections)
	if err != nil {
		return err
	}
	fmt.Printf("memory per idle connection %.0f bytes (%d connections)\n", perConn, connections)
	return nil
}

package main

import (
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/loadgen"
)

// compareCommand measures what entry hosts add.
func compareCommand() *cobra.Command {
	var (
		conf loadgen.CompareConfig
		ways []string
		idle int
		each bool
	)
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare direct requests with requests through entry hosts",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, raw := range ways {
				way, err := parseWay(raw)
				if err != nil {
					return err
				}
				conf.Through = append(conf.Through, way)
			}
			// Memory first: a load leaves free memory that would hide the growth.
			for _, way := range conf.Through {
				if err := printIdle(way, idle); err != nil {
					return err
				}
			}
			sats, levels, err := loadgen.Compare(cmd.Context(), conf)
			if err != nil {
				return err
			}
			printSaturation(conf.Through, sats)
			if each {
				if err := printRounds(conf.Through, levels); err != nil {
					return err
				}
			}
			return printLevels(conf.Through, levels)
		},
	}
	f := cmd.Flags()
	f.StringVar(&conf.Direct, "direct", "", "URL at the upstream (required)")
	f.StringArrayVar(&ways, "through", nil, "entry host, as NAME,URL,PID,ADMIN-IP:PORT; may be repeated to compare builds (required)")
	f.Float64SliceVar(&conf.Shares, "shares", []float64{0.1, 0.5, 0.8}, "loads, as shares of the first entry host's saturation")
	f.DurationVar(&conf.Duration, "duration", time.Second, "time of each round of each load")
	f.IntVar(&conf.Rounds, "rounds", 7, "measurements of each load")
	f.IntVar(&conf.Workers, "workers", 32, "connections to each way")
	f.Uint64Var(&conf.Seed, "seed", 1, "seed of the arrivals")
	f.IntVar(&idle, "idle", 2000, "idle connections to measure memory with; 0 is none")
	f.BoolVar(&each, "each", false, "print each round")
	return cmd
}

// printRounds prints the tail of each round beside the time that the entry
// host's threads waited for a processor, which tells a busy machine.
func printRounds(ways []loadgen.Through, levels []loadgen.Level) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tround\tway\tdirect p99 ms\tadded p50 ms\tadded p99 ms\twaited for a processor, us/request\t")
	for i := range levels {
		for n := range levels[i].Rounds {
			r := &levels[i].Rounds[n]
			for j, way := range ways {
				fmt.Fprintf(w, "%.0f%%\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.1f\t\n", levels[i].Share*100, n+1, way.Name,
					inMillis(float64(r.Ways[0].FromSend.ValueAtQuantile(99))),
					inMillis(r.Added(j+1, 50)), inMillis(r.Added(j+1, 99)), r.Delays[j])
			}
		}
	}
	return w.Flush()
}

// wayFields is the number of parts of --through.
const wayFields = 4

func parseWay(raw string) (loadgen.Through, error) {
	parts := strings.Split(raw, ",")
	if len(parts) != wayFields {
		return loadgen.Through{}, errors.Newf("through: %q is not NAME,URL,PID,ADMIN-IP:PORT", raw)
	}
	pid, err := strconv.Atoi(parts[2])
	if err != nil {
		return loadgen.Through{}, errors.Newf("through: %q is not a process id", parts[2])
	}
	return loadgen.Through{Name: parts[0], URL: parts[1], PID: pid, Admin: parts[3]}, nil
}

func printSaturation(ways []loadgen.Through, sats []loadgen.Saturation) {
	for i, sat := range sats {
		fmt.Printf("%s: saturation %.0f requests/s, %.0f requests/s per core (%.0f to %.0f), %.1f allocations and %.0f bytes per request, errors %d\n",
			ways[i].Name, sat.Rate, sat.PerCore, sat.PerCoreLow, sat.PerCoreHigh, sat.Allocations, sat.AllocatedBytes, sat.Errors)
	}
}

// printLevels prints quantiles over all rounds, and the median and the range
// over the rounds of what a way adds to the quantile of the direct one.
func printLevels(ways []loadgen.Through, levels []loadgen.Level) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tasked/s\tgot/s\tway\tquantile\tdirect ms\tthrough ms\tadded ms, median\tfrom\tto\trequests\terrors\t")
	for i := range levels {
		l := &levels[i]
		for n, way := range ways {
			for _, q := range []float64{50, 99, 99.9} {
				added := l.Added(n+1, q)
				fmt.Fprintf(w, "%.0f%%\t%.0f\t%.0f\t%s\tp%g\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t\n",
					l.Share*100, l.Asked, achieved(l), way.Name, q,
					inMillis(l.Pooled(0, q)), inMillis(l.Pooled(n+1, q)),
					inMillis(added[len(added)/2]), inMillis(added[0]), inMillis(added[len(added)-1]),
					count(l, n+1), failed(l, n+1))
			}
		}
	}
	return w.Flush()
}

const microsPerMilli = 1000

func inMillis(micros float64) float64 { return micros / microsPerMilli }

func achieved(l *loadgen.Level) float64 {
	sum := 0.0
	for _, r := range l.Rounds {
		sum += r.Achieved
	}
	return sum / float64(len(l.Rounds))
}

func count(l *loadgen.Level, way int) int64 {
	n := int64(0)
	for _, r := range l.Rounds {
		n += r.Ways[way].FromSend.TotalCount()
	}
	return n
}

func failed(l *loadgen.Level, way int) int {
	n := 0
	for _, r := range l.Rounds {
		n += r.Ways[way].Errors
	}
	return n
}

func printIdle(way loadgen.Through, connections int) error {
	if connections == 0 {
		return nil
	}
	u, err := url.Parse(way.URL)
	if err != nil {
		return err
	}
	perConn, err := loadgen.IdleMemory(u.Host, way.PID, connections)
	if err != nil {
		return err
	}
	fmt.Printf("%s: memory per idle connection %.0f bytes (%d connections)\n", way.Name, perConn, connections)
	return nil
}

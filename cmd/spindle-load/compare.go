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

// compareCommand measures the overhead of entry hosts.
func compareCommand() *cobra.Command {
	var (
		conf       loadgen.CompareConfig
		entryHosts []string
		idle       int
		eachRound  bool
	)
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare direct requests with requests through entry hosts",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, raw := range entryHosts {
				host, err := parseEntryHost(raw)
				if err != nil {
					return err
				}
				conf.EntryHosts = append(conf.EntryHosts, host)
			}
			// Memory is measured first, because the process keeps memory it has
			// freed after a load, which would hide the growth.
			for _, host := range conf.EntryHosts {
				if err := printIdleMemory(host, idle); err != nil {
					return err
				}
			}
			saturations, levels, err := loadgen.Compare(cmd.Context(), conf)
			if err != nil {
				return err
			}
			printSaturation(conf.EntryHosts, saturations)
			if eachRound {
				if err := printRounds(conf.EntryHosts, levels); err != nil {
					return err
				}
			}
			return printLevels(conf.EntryHosts, levels)
		},
	}
	f := cmd.Flags()
	f.StringVar(&conf.DirectURL, "direct", "", "URL to request at the upstream directly (required)")
	f.StringArrayVar(&entryHosts, "through", nil, "entry host, as NAME,URL,PID,ADMIN-IP:PORT; may be repeated to compare builds (required)")
	f.Float64SliceVar(&conf.LoadShares, "shares", []float64{0.1, 0.5, 0.8}, "loads, as fractions of the saturation rate of the first entry host")
	f.DurationVar(&conf.Duration, "duration", time.Second, "duration of one round at one load")
	f.IntVar(&conf.Rounds, "rounds", 7, "number of measurements of each load")
	f.IntVar(&conf.Workers, "workers", 32, "number of connections per path")
	f.Uint64Var(&conf.Seed, "seed", 1, "seed of the arrival times")
	f.IntVar(&idle, "idle", 2000, "number of idle connections for the memory measurement; 0 disables it")
	f.BoolVar(&eachRound, "each", false, "also print the results of each round")
	return cmd
}

// printRounds prints the latencies of each round and the time that the threads of
// the entry host waited for a processor, which reveals a busy machine.
func printRounds(hosts []loadgen.EntryHost, levels []loadgen.LoadLevel) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tround\tway\tdirect p99 ms\tadded p50 ms\tadded p99 ms\twaited for a processor, us/request\t")
	for i := range levels {
		for n := range levels[i].Rounds {
			r := &levels[i].Rounds[n]
			for j, host := range hosts {
				fmt.Fprintf(w, "%.0f%%\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.1f\t\n", levels[i].Share*100, n+1, host.Name,
					inMillis(float64(r.Paths[0].SendLatency.ValueAtQuantile(99))),
					inMillis(r.AddedLatency(j+1, 50)), inMillis(r.AddedLatency(j+1, 99)), r.RunDelays[j])
			}
		}
	}
	return w.Flush()
}

// entryHostFields is the number of comma-separated fields of --through.
const entryHostFields = 4

func parseEntryHost(raw string) (loadgen.EntryHost, error) {
	parts := strings.Split(raw, ",")
	if len(parts) != entryHostFields {
		return loadgen.EntryHost{}, errors.Newf("through: %q is not NAME,URL,PID,ADMIN-IP:PORT", raw)
	}
	pid, err := strconv.Atoi(parts[2])
	if err != nil {
		return loadgen.EntryHost{}, errors.Newf("through: %q is not a process ID", parts[2])
	}
	return loadgen.EntryHost{Name: parts[0], URL: parts[1], PID: pid, AdminAddress: parts[3]}, nil
}

func printSaturation(hosts []loadgen.EntryHost, saturations []loadgen.Saturation) {
	for i, saturation := range saturations {
		fmt.Printf("%s: saturation %.0f requests/s, %.0f requests/s per core (%.0f to %.0f), %.1f allocations and %.0f bytes per request, errors %d\n",
			hosts[i].Name, saturation.Rate, saturation.PerCore, saturation.PerCoreLow, saturation.PerCoreHigh, saturation.Allocations, saturation.AllocatedBytes, saturation.Errors)
	}
}

// printLevels prints the latency quantiles over all rounds, and the median and the
// range over the rounds of the latency added to the direct path.
func printLevels(hosts []loadgen.EntryHost, levels []loadgen.LoadLevel) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tasked/s\tgot/s\tway\tquantile\tdirect ms\tthrough ms\tadded ms, median\tfrom\tto\trequests\terrors\t")
	for i := range levels {
		l := &levels[i]
		for n, host := range hosts {
			for _, q := range []float64{50, 99, 99.9} {
				added := l.AddedLatencies(n+1, q)
				fmt.Fprintf(w, "%.0f%%\t%.0f\t%.0f\t%s\tp%g\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t\n",
					l.Share*100, l.TargetRate, meanAchievedRate(l), host.Name, q,
					inMillis(l.PooledQuantile(0, q)), inMillis(l.PooledQuantile(n+1, q)),
					inMillis(added[len(added)/2]), inMillis(added[0]), inMillis(added[len(added)-1]),
					requestCount(l, n+1), errorCount(l, n+1))
			}
		}
	}
	return w.Flush()
}

const microsPerMilli = 1000

func inMillis(micros float64) float64 { return micros / microsPerMilli }

func meanAchievedRate(l *loadgen.LoadLevel) float64 {
	sum := 0.0
	for _, r := range l.Rounds {
		sum += r.AchievedRate
	}
	return sum / float64(len(l.Rounds))
}

func requestCount(l *loadgen.LoadLevel, path int) int64 {
	n := int64(0)
	for _, r := range l.Rounds {
		n += r.Paths[path].SendLatency.TotalCount()
	}
	return n
}

func errorCount(l *loadgen.LoadLevel, path int) int {
	n := 0
	for _, r := range l.Rounds {
		n += r.Paths[path].Errors
	}
	return n
}

func printIdleMemory(host loadgen.EntryHost, connections int) error {
	if connections == 0 {
		return nil
	}
	u, err := url.Parse(host.URL)
	if err != nil {
		return err
	}
	perConn, err := loadgen.IdleMemory(u.Host, host.PID, connections)
	if err != nil {
		return err
	}
	fmt.Printf("%s: memory per idle connection %.0f bytes (%d connections)\n", host.Name, perConn, connections)
	return nil
}
